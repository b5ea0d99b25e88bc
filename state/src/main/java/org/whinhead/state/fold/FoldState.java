package org.whinhead.state.fold;

import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.state.lease.LeaseState;
import org.whinhead.state.record.LogEntry;
import org.whinhead.state.record.LogRecord;
import org.whinhead.state.record.RecordId;
import org.whinhead.state.settings.SettingsState;

/**
 * An immutable snapshot of the shared state after all records below an offset; the same on every
 * daemon.
 *
 * @param asOf the first offset that is not applied
 * @param newest the newest record of each daemon incarnation
 * @param settings the settings
 * @param leases the leases by duty
 * @param notes the notes of each duty's holders by name, in log order
 * @param leaving the time by which each leaving VM is gone, by VM id
 * @param grants the unexpired budget grants, oldest first
 * @param unknown the records of kinds that the program version did not know, oldest first
 * @param unknownLost whether a record of an unknown kind was dropped or could not be decoded
 */
public record FoldState(
        long asOf,
        List<RecordId> newest,
        SettingsState settings,
        Map<String, LeaseState> leases,
        Map<String, Map<String, String>> notes,
        Map<String, Instant> leaving,
        List<LogRecord.BudgetGrant> grants,
        List<KeptRecord> unknown,
        boolean unknownLost) {

    /** The state before the first record. */
    public static final FoldState EMPTY =
            new FoldState(
                    0,
                    List.of(),
                    SettingsState.EMPTY,
                    Map.of(),
                    Map.of(),
                    Map.of(),
                    List.of(),
                    List.of(),
                    false);

    /** Checks every part and copies the collections. */
    public FoldState {
        Arguments.requireAtLeast(asOf, 0, "asOf");
        newest = List.copyOf(newest);
        Objects.requireNonNull(settings, "settings");
        leases = Map.copyOf(leases);
        notes = DutyNotes.copy(notes);
        leaving = Map.copyOf(leaving);
        grants = List.copyOf(grants);
        unknown = List.copyOf(unknown);
    }

    /**
     * A record of an unknown kind, kept for a version that knows it.
     *
     * @param offset the record's offset
     * @param at the time at which the log accepted the record
     * @param encoded the record's bytes on the log, in base64
     */
    public record KeptRecord(long offset, Instant at, String encoded) {

        /** Checks every part. */
        public KeptRecord {
            Arguments.requireAtLeast(offset, 0, "offset");
            Objects.requireNonNull(at, "at");
            Objects.requireNonNull(encoded, "encoded");
        }

        static KeptRecord of(final LogEntry entry, final String encoded) {
            return new KeptRecord(entry.offset(), entry.at(), encoded);
        }
    }
}
