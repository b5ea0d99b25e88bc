package org.whinhead.serving.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The endpoints at which requests with suspected features run. If one of them crashes, that request
 * explains it, and others on the endpoint are not to blame.
 */
final class GuardedEndpoints {

    /** The daemons find a crash within milliseconds, and tell of the request before it. */
    private static final Duration MEMORY = Duration.ofSeconds(1);

    /** Bounds the memory; larger than any service of the largest deployment. */
    private static final int MAX_ENDPOINTS = 2_048;

    private final Map<String, List<Attempt>> mAttempts = new LinkedHashMap<>();

    private record Attempt(Set<RequestFeature> features, Instant until) {}

    void start(
            final String endpoint, final Collection<RequestFeature> features, final Instant now) {
        mAttempts.values().forEach(attempts -> removeOutdated(attempts, now));
        mAttempts.values().removeIf(List::isEmpty);
        mAttempts
                .computeIfAbsent(endpoint, id -> new ArrayList<>())
                .add(new Attempt(Set.copyOf(features), now.plus(MEMORY)));
        if (mAttempts.size() > MAX_ENDPOINTS) {
            mAttempts.remove(mAttempts.keySet().iterator().next());
        }
    }

    private static void removeOutdated(final List<Attempt> attempts, final Instant now) {
        attempts.removeIf(attempt -> !now.isBefore(attempt.until()));
    }

    /** Records that the requests with some features have ended, or their answers have begun. */
    void end(final Collection<RequestFeature> features) {
        for (final List<Attempt> attempts : mAttempts.values()) {
            attempts.removeIf(attempt -> !Collections.disjoint(attempt.features(), features));
        }
    }

    /** Returns whether such a request runs at an endpoint. */
    boolean contains(final String endpoint, final Instant now) {
        return mAttempts.getOrDefault(endpoint, List.of()).stream()
                .anyMatch(attempt -> now.isBefore(attempt.until()));
    }

    /**
     * Returns whether only other requests than one with some features explain a crash. If two ran
     * there, by chance or for want of a message, either may be to blame.
     */
    boolean explain(
            final String endpoint, final Collection<RequestFeature> features, final Instant now) {
        return contains(endpoint, now)
                && mAttempts.get(endpoint).stream()
                        .noneMatch(attempt -> features.containsAll(attempt.features()));
    }

    /** Returns whether another request than one with some features runs at an endpoint. */
    boolean containsOther(
            final String endpoint, final Collection<RequestFeature> features, final Instant now) {
        return mAttempts.getOrDefault(endpoint, List.of()).stream()
                .filter(attempt -> now.isBefore(attempt.until()))
                .anyMatch(attempt -> !features.containsAll(attempt.features()));
    }
}
