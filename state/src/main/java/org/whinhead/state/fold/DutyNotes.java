package org.whinhead.state.fold;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import org.whinhead.state.record.LogRecord;

/** The notes that the holders of duties record for their successors, in log order. */
final class DutyNotes {

    private static final int MAX_NOTES_PER_DUTY = 4_096;

    private final Map<String, Map<String, String>> mNotes = new LinkedHashMap<>();

    void apply(final LogRecord.DutyNoted record) {
        final Map<String, String> notes =
                mNotes.computeIfAbsent(record.duty(), duty -> new LinkedHashMap<>());
        if (record.body().isEmpty()) {
            notes.remove(record.name());
        } else if (notes.size() < MAX_NOTES_PER_DUTY || notes.containsKey(record.name())) {
            notes.put(record.name(), record.body().get());
        }
    }

    Map<String, Map<String, String>> snapshot() {
        return copy(mNotes);
    }

    void restore(final Map<String, Map<String, String>> notes) {
        mNotes.clear();
        notes.forEach((duty, inner) -> mNotes.put(duty, new LinkedHashMap<>(inner)));
    }

    static Map<String, Map<String, String>> copy(final Map<String, Map<String, String>> notes) {
        final Map<String, Map<String, String>> copy = new LinkedHashMap<>();
        notes.forEach(
                (duty, inner) ->
                        copy.put(duty, Collections.unmodifiableMap(new LinkedHashMap<>(inner))));
        return Collections.unmodifiableMap(copy);
    }
}
