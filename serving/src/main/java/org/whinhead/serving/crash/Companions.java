package org.whinhead.serving.crash;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * The features, by their shapes, that came with a feature in each crash: any of them may be what
 * crashes endpoints. Of the requests on one endpoint any may be to blame, so that all of their
 * features count for its crash.
 */
final class Companions {

    /** Daemons tell of a crash within milliseconds; few endpoints crash meanwhile. */
    private static final int MAX_ENDPOINTS = 4;

    /** A feature that comes with so many others is a common one, which others explain. */
    private static final int MAX_SHAPES = 512;

    private final Map<String, Set<Integer>> mByEndpoint = new LinkedHashMap<>();
    private Set<Integer> mEarlier;

    /**
     * Adds a request that was on an endpoint that crashed.
     *
     * @param endpoint the endpoint's id
     * @param shapes the shapes of the other features of the request
     */
    void addLostRun(final String endpoint, final Set<Integer> shapes) {
        final Set<Integer> known = mByEndpoint.computeIfAbsent(endpoint, id -> new HashSet<>());
        if (known.size() < MAX_SHAPES) {
            known.addAll(shapes);
        }
        if (mByEndpoint.size() > MAX_ENDPOINTS) {
            final String oldest = mByEndpoint.keySet().iterator().next();
            mEarlier = intersect(mEarlier, mByEndpoint.remove(oldest));
        }
    }

    private static Set<Integer> intersect(final Set<Integer> earlier, final Set<Integer> shapes) {
        final Set<Integer> common = new HashSet<>(shapes);
        if (earlier != null) {
            common.retainAll(earlier);
        }
        return common;
    }

    /** Replaces all by what another daemon knows. */
    void set(final Set<Integer> shapes) {
        mByEndpoint.clear();
        mEarlier = new HashSet<>(shapes);
    }

    /** Returns the shapes that came with the feature in each crash. */
    Set<Integer> shapes() {
        Set<Integer> common = mEarlier;
        for (final Set<Integer> shapes : mByEndpoint.values()) {
            common = intersect(common, shapes);
        }
        return common == null ? Set.of() : Set.copyOf(common);
    }
}
