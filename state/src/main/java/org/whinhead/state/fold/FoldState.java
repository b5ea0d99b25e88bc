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
 * The fold of all records below an offset; immutable, and the same on every daemon.
 *
 * @param asOf the first offset that is not in it
 * @param newest the newest record of each incarnation
 * @param settings the settings
 * @param leases the leases by duty
 * @param notes the notes of each duty's holders by name, in log order
 * @param leaving when each leaving VM will be gone, by its id
 * @param grants the grants that have not ended, oldest first
 * @param unknown records of kinds that the folding version did not know, oldest first
 * @param unknownLost whether there were more of them than are kept
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
     * @param offset its offset
     * @param at when the log took it
     * @param encoded its bytes on the log, in base64
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
