package org.whinhead.serving.crash;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

/** The suspected features, of which those that are suspected least are forgotten first. */
final class SuspectTable {

    /** Bounds the memory: an endpoint that crashes takes up to a hundred requests with it. */
    private static final int MAX_SUSPECTS = 4_096;

    private final Map<RequestFeature, Suspect> mSuspects = new LinkedHashMap<>();
    private final Map<Integer, List<Suspect>> mByShape = new HashMap<>();

    /** Returns whether a feature with a shape is suspected. */
    boolean containsShape(final int shape) {
        return mByShape.containsKey(shape);
    }

    /** Returns whether requests with a feature of a shape are refused. */
    boolean isBlocked(final int shape) {
        return mByShape.getOrDefault(shape, List.of()).stream()
                .anyMatch(
                        suspect ->
                                suspect.level() >= CrashSuspects.BLOCKED_LEVEL
                                        && !suspect.isSoundApart());
    }

    /** Returns the evidence against a feature unless it is outdated. */
    Optional<Suspect> find(final RequestFeature feature, final Instant now) {
        final Suspect suspect = mSuspects.get(feature);
        if (suspect != null && !now.isBefore(suspect.keptUntil())) {
            remove(feature);
            return Optional.empty();
        }
        return Optional.ofNullable(suspect);
    }

    /** Puts a feature, whose level was raised, behind all others. */
    void putLast(final RequestFeature feature, final Suspect suspect) {
        if (mSuspects.remove(feature) == null) {
            mByShape.computeIfAbsent(feature.shape(), shape -> new ArrayList<>()).add(suspect);
        }
        mSuspects.put(feature, suspect);
        if (mSuspects.size() > MAX_SUSPECTS) {
            remove(leastSuspected());
        }
    }

    /** Returns the oldest feature that is not held back, or else the oldest one. */
    private RequestFeature leastSuspected() {
        return mSuspects.entrySet().stream()
                .filter(entry -> entry.getValue().level() < CrashSuspects.GUARDED_LEVEL)
                .findFirst()
                .map(Map.Entry::getKey)
                .orElseGet(() -> mSuspects.keySet().iterator().next());
    }

    void remove(final RequestFeature feature) {
        final Suspect suspect = mSuspects.remove(feature);
        if (suspect != null) {
            final List<Suspect> alike = mByShape.get(feature.shape());
            alike.remove(suspect);
            if (alike.isEmpty()) {
                mByShape.remove(feature.shape());
            }
        }
    }

    void forEach(final BiConsumer<RequestFeature, Suspect> action) {
        mSuspects.forEach(action);
    }

    int size() {
        return mSuspects.size();
    }
}
