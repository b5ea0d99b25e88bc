package org.whinhead.serving.crash;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The features of the requests that were on each of the endpoints that crashed last, by their
 * shapes. Any of them may be to blame for the crash.
 */
final class CrashEvents {

    /** More endpoints than crash while the features of one crash are in question. */
    private static final int MAX_ENDPOINTS = 128;

    /** Bounds the memory; an endpoint has up to a hundred requests of some features each. */
    private static final int MAX_SHAPES = 512;

    private final Map<String, Set<Integer>> mShapes = new LinkedHashMap<>();

    /** Adds the features of a request that was on an endpoint. */
    void add(final String endpoint, final Iterable<RequestFeature> features) {
        final Set<Integer> shapes = mShapes.computeIfAbsent(endpoint, id -> new HashSet<>());
        for (final RequestFeature feature : features) {
            if (shapes.size() < MAX_SHAPES) {
                shapes.add(feature.shape());
            }
        }
        if (mShapes.size() > MAX_ENDPOINTS) {
            mShapes.remove(mShapes.keySet().iterator().next());
        }
    }

    /** Returns the shapes of all features that were on an endpoint; none if it is forgotten. */
    Set<Integer> shapes(final String endpoint) {
        return mShapes.getOrDefault(endpoint, Set.of());
    }
}
