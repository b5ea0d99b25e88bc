package org.whinhead.state.settings;

import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.Arguments;

/**
 * A revision of the document at a path.
 *
 * @param revision the offset of the record with the change
 * @param document the document as JSON text, or empty if the change deleted it
 * @param changeId the operator's identifier of the change
 * @param author the operator's name
 * @param reason the reason for the change, for auditors
 * @param at the time of the operator's request
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
