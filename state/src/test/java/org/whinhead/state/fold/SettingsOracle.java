package org.whinhead.state.fold;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.whinhead.state.record.LogEntry;
import org.whinhead.state.record.LogRecord;
import org.whinhead.state.record.RecordId;

/** Computes the settings in force at an offset from all records, with unbounded memory. */
final class SettingsOracle {

    private SettingsOracle() {}

    static Map<String, Long> revisions(final List<LogEntry> all, final long offset) {
        final Set<RecordId> seen = new HashSet<>();
        final Set<String> changes = new HashSet<>();
        final Map<String, Long> revisions = new TreeMap<>();
        for (final LogEntry entry : all.subList(0, (int) offset)) {
            if (seen.add(entry.record().id())
                    && entry.record() instanceof LogRecord.SettingChanged change
                    && changes.add(change.changeId())
                    && isAllowed(change)
                    && revisions.getOrDefault(change.path(), -1L) == change.baseRevision()) {
                revisions.put(change.path(), entry.offset());
            }
        }
        return revisions;
    }

    static boolean isAllowed(final LogRecord.SettingChanged change) {
        return change.path().startsWith("/" + change.author())
                && !change.document().orElse("").contains("bad");
    }
}
