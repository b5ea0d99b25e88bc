package org.whinhead.state.record;

import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.DaemonId;

/**
 * The identity of one record, given by its writer before the first append.
 *
 * <p>Guards against an append whose answer was lost: the copy that is sent again carries the same
 * identity, so a reader that meets both applies only the first.
 *
 * @param incarnation the daemon that made the record
 * @param sequence the record's number, from 1, rising with each record of that daemon
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
