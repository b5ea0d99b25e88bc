package org.whinhead.daemon.log;

import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.Arguments;

/**
 * A change of a settings document that an operator requests.
 *
 * @param changeId the operator's identifier of the change, the same in each retry
 * @param path the path of the document
 * @param baseRevision the revision that the change replaces, or -1 if the path has none
 * @param document the new document, or empty to delete the present one
 * @param author the name of the operator
 * @param reason the reason of the change, for audits
 * @param dryRun whether the change is only validated
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
