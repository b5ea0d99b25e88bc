package org.whinhead.serving.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The last crashes, and the features of the requests that were lost in each, by their shapes. Any
 * of them may be to blame for it.
 */
final class CrashEvents {

    /**
     * The daemons find one crash within this. An endpoint that has started again under its id may
     * crash again soon after.
     */
    private static final Duration ONE_CRASH = Duration.ofSeconds(1);

    /** More crashes than there are while the features of one are in question. */
    private static final int MAX_CRASHES = 128;

    /** Bounds the memory; an endpoint has up to a hundred requests of some features each. */
    private static final int MAX_SHAPES = 512;

    private final Map<Long, Set<Integer>> mShapes = new LinkedHashMap<>();
    private final Map<String, Crash> mLast = new HashMap<>();
    private long mNumber;

    private record Crash(long number, Instant at) {}

    /**
     * Records that a request was lost with an endpoint.
     *
     * @param endpoint the endpoint's id
     * @param features the features of the request
     * @param now the current time
     * @return the number of the crash, the same for all requests that were lost in it
     */
    long add(final String endpoint, final Iterable<RequestFeature> features, final Instant now) {
        final Crash last = mLast.get(endpoint);
        final boolean isSame = last != null && now.isBefore(last.at().plus(ONE_CRASH));
        final Crash crash = isSame ? last : new Crash(mNumber++, now);
        mLast.put(endpoint, crash);
        final Set<Integer> shapes =
                mShapes.computeIfAbsent(crash.number(), number -> new HashSet<>());
        for (final RequestFeature feature : features) {
            if (shapes.size() < MAX_SHAPES) {
                shapes.add(feature.shape());
            }
        }
        if (mShapes.size() > MAX_CRASHES) {
            final long oldest = mShapes.keySet().iterator().next();
            mShapes.remove(oldest);
            mLast.values().removeIf(other -> other.number() == oldest);
        }
        return crash.number();
    }

    /** Returns the shapes of all features that were lost in a crash; none if it is forgotten. */
    Set<Integer> shapes(final long crash) {
        return mShapes.getOrDefault(crash, Set.of());
    }
}
