package org.whinhead.serving.configuration;

import org.whinhead.api.Arguments;

/**
 * An entry of a configuration, or a value in it, that can't be used.
 *
 * @param path where it stands in the configuration
 * @param reason why it can't be used
 */
public record RejectedEntry(String path, String reason) {

    /** Checks the components. */
    public RejectedEntry {
        Arguments.requireText(path, "path");
        Arguments.requireText(reason, "reason");
    }
}
