package org.whinhead.daemon.view;

import java.util.List;
import org.whinhead.api.Arguments;

/**
 * What is set for a plain service.
 *
 * @param name the service's name
 * @param nonIdempotentPaths beginnings of paths whose calls may not be repeated
 */
public record ServiceRules(String name, List<String> nonIdempotentPaths) {

    /** Checks the name and copies the list. */
    public ServiceRules {
        Arguments.requireText(name, "name");
        nonIdempotentPaths = List.copyOf(nonIdempotentPaths);
    }

    /**
     * Tells whether a call may be repeated.
     *
     * @param path the path at the service, beginning with a slash
     * @return false if a rule forbids it
     */
    public boolean mayRepeat(final String path) {
        return nonIdempotentPaths.stream().noneMatch(path::startsWith);
    }
}
