package org.whinhead.daemon.log;

import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.Arguments;

/**
 * A change that an operator asks for.
 *
 * @param changeId the operator's name for the change, the same with each try
 * @param path the path
 * @param baseRevision the revision that it replaces, or -1
 * @param document the new document, or empty to delete it
 * @param author the operator's name
 * @param reason why, for the auditor
 * @param dryRun whether it is only checked
 */
public record SettingsChange(
        String changeId,
        String path,
        long baseRevision,
        Optional<String> document,
        String author,
        String reason,
        boolean dryRun) {

    /** Checks every part. */
    public SettingsChange {
        Arguments.requireText(changeId, "changeId");
        Arguments.requireText(path, "path");
        Objects.requireNonNull(document, "document");
        Arguments.requireText(author, "author");
        Objects.requireNonNull(reason, "reason");
    }
}
