package org.whinhead.state.settings;

import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.Arguments;

/**
 * One revision of the document at a path.
 *
 * @param revision the offset of the record that made it
 * @param document the document as JSON text, or empty if it was deleted
 * @param changeId the operator's name for the change
 * @param author the operator's name
 * @param reason why, for the auditor
 * @param at when the operator asked
 */
public record SettingRevision(
        long revision,
        Optional<String> document,
        String changeId,
        String author,
        String reason,
        Instant at) {

    /** Checks every part. */
    public SettingRevision {
        Arguments.requireAtLeast(revision, 0, "revision");
        Objects.requireNonNull(document, "document");
        Objects.requireNonNull(changeId, "changeId");
        Objects.requireNonNull(author, "author");
        Objects.requireNonNull(reason, "reason");
        Objects.requireNonNull(at, "at");
    }
}
