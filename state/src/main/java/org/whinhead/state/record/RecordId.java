package org.whinhead.state.record;

import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.DaemonId;

/**
 * The identity of a record, assigned by its writer before the first append.
 *
 * <p>A record is sent again if the response to its append was lost. Both copies have the same
 * identity, so that a reader applies only the first.
 *
 * @param incarnation the daemon that created the record
 * @param sequence the record's number, from 1, higher with each record of that daemon
 */
public record RecordId(DaemonId incarnation, long sequence) {

    /** Checks both parts. */
    public RecordId {
        Objects.requireNonNull(incarnation, "incarnation");
        Arguments.requireAtLeast(sequence, 1, "sequence");
    }

    @Override
    public String toString() {
        return incarnation + "/" + sequence;
    }
}
