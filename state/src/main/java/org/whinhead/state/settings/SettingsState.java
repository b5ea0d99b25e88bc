package org.whinhead.state.settings;

import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import org.whinhead.state.record.LogRecord;

/**
 * An immutable snapshot of the settings as of an offset.
 *
 * @param rules the rules version that documents are checked by
 * @param history the newest revisions by path, oldest first; the last one is in force
 * @param outcomes the newest outcomes, oldest first
 */
public record SettingsState(
        int rules, Map<String, List<SettingRevision>> history, List<ChangeOutcome> outcomes) {

    /** The state before the first record. */
    public static final SettingsState EMPTY = new SettingsState(1, Map.of(), List.of());

    /** Copies the collections. */
    public SettingsState {
        final NavigableMap<String, List<SettingRevision>> copy = new TreeMap<>(history);
        copy.replaceAll((path, revisions) -> List.copyOf(revisions));
        history = Collections.unmodifiableNavigableMap(copy);
        outcomes = List.copyOf(outcomes);
    }

    /**
     * Returns the revision in force at a path.
     *
     * @param path the path
     * @return the newest revision, which may be a deletion, or empty if the path was never set
     */
    public Optional<SettingRevision> currentRevision(final String path) {
        final List<SettingRevision> revisions = history.getOrDefault(path, List.of());
        return revisions.isEmpty()
                ? Optional.empty()
                : Optional.of(revisions.get(revisions.size() - 1));
    }

    /**
     * Returns the revision number that a change of a path must name as its base.
     *
     * @param path the path
     * @return the number of the revision in force, or {@link LogRecord#NONE}
     */
    public long revisionNumber(final String path) {
        return currentRevision(path).map(SettingRevision::revision).orElse(LogRecord.NONE);
    }

    /**
     * Returns the document in force at a path.
     *
     * @param path the path
     * @return the document, or empty if there is none
     */
    public Optional<String> document(final String path) {
        return currentRevision(path).flatMap(SettingRevision::document);
    }

    /** Returns all documents in force by path. */
    public NavigableMap<String, String> documents() {
        final NavigableMap<String, String> documents = new TreeMap<>();
        for (final String path : history.keySet()) {
            document(path).ifPresent(document -> documents.put(path, document));
        }
        return documents;
    }

    /**
     * Returns the outcome of a change.
     *
     * @param changeId the operator's identifier of the change
     * @return the outcome, or empty if the change is undecided or its outcome is no longer kept
     */
    public Optional<ChangeOutcome> outcome(final String changeId) {
        return outcomes.stream().filter(outcome -> outcome.changeId().equals(changeId)).findFirst();
    }
}
