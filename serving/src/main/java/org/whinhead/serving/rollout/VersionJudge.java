package org.whinhead.serving.rollout;

import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Judges a new version by what all daemons have seen of it and of the old one.
 *
 * <p>Each route is tested apart, since a version may be bad on one route only, and all of them
 * together, since one route alone may have too few requests to tell. The old version's answers in
 * the same seconds are what the new one is held against: a fault that hits both is not the
 * version's.
 */
final class VersionJudge {

    private final Map<String, RolloutEvidence> mEvidence = new HashMap<>();
    private final Set<String> mHeard = new HashSet<>();
    private final RequestRate mRate = new RequestRate();
    private final Map<String, RouteComparison> mRoutes = new HashMap<>();
    private final BadAnswerTest mOverall = new BadAnswerTest();

    /** Takes a daemon's counts; older ones than those that are known change nothing. */
    void take(final RolloutEvidence evidence) {
        final RolloutEvidence known = mEvidence.get(evidence.daemon());
        if (known == null || sent(evidence.outcomes()) >= sent(known.outcomes())) {
            mEvidence.put(evidence.daemon(), evidence);
            mHeard.add(evidence.daemon());
        }
    }

    private static long sent(final List<RouteOutcomes> outcomes) {
        return outcomes.stream().mapToLong(RouteOutcomes::sent).sum();
    }

    /**
     * Judges what has come since the last call.
     *
     * @param now the time
     */
    void judge(final Instant now) {
        mHeard.forEach(daemon -> mRate.count(daemon, sent(mEvidence.get(daemon).outcomes()), now));
        mHeard.clear();
        final Map<String, RouteComparison.Sums> old = new HashMap<>();
        final Map<String, RouteComparison.Sums> trial = new HashMap<>();
        for (final RolloutEvidence evidence : mEvidence.values()) {
            for (final RouteOutcomes outcomes : evidence.outcomes()) {
                (outcomes.onTrial() ? trial : old)
                        .computeIfAbsent(outcomes.route(), route -> new RouteComparison.Sums())
                        .add(outcomes);
            }
        }
        final Set<String> routes = new HashSet<>(old.keySet());
        routes.addAll(trial.keySet());
        for (final String route : routes) {
            mRoutes.computeIfAbsent(route, name -> new RouteComparison())
                    .compare(
                            old.getOrDefault(route, new RouteComparison.Sums()),
                            trial.getOrDefault(route, new RouteComparison.Sums()),
                            mOverall);
        }
    }

    /** Names what is bad: a route, or all of them together. */
    Optional<String> bad() {
        for (final Map.Entry<String, RouteComparison> route : mRoutes.entrySet()) {
            if (route.getValue().isBad()) {
                return Optional.of("route " + route.getKey());
            }
        }
        return mOverall.isBad() ? Optional.of("all routes together") : Optional.empty();
    }

    /** Tells whether the version may get more requests, though it isn't known to be good yet. */
    boolean isPromising() {
        return mOverall.isPromisingOverall()
                && mRoutes.values().stream().allMatch(RouteComparison::isPromising);
    }

    boolean isGood() {
        return bad().isEmpty()
                && mRoutes.values().stream().noneMatch(RouteComparison::isSuspected)
                && mOverall.isGood();
    }

    /** Tells whether the old version fails so often now that the new one can't be judged. */
    boolean isOldFailing() {
        return mRoutes.values().stream().anyMatch(RouteComparison::isOldFailing);
    }

    /** Returns the requests a second that reach the service; 0 if that isn't known yet. */
    double requestsPerSecond(final Instant now) {
        return mRate.perSecond(now);
    }

    /** Counts requests that reached the service since the order. */
    long requests() {
        return count(false) + count(true);
    }

    /** Counts requests that reached the new version. */
    long exposed() {
        return count(true);
    }

    /** Counts answers of the new version that were judged, and how many of them were bad. */
    Tally tally() {
        final Collection<RouteComparison> routes = mRoutes.values();
        return new Tally(
                routes.stream().mapToLong(RouteComparison::answers).sum(),
                routes.stream().mapToLong(RouteComparison::bad).sum(),
                mOverall.evidence());
    }

    private long count(final boolean onTrial) {
        return mEvidence.values().stream()
                .flatMap(evidence -> evidence.outcomes().stream())
                .filter(outcomes -> outcomes.onTrial() == onTrial)
                .mapToLong(RouteOutcomes::sent)
                .sum();
    }

    /**
     * What was judged.
     *
     * @param answers answers of the new version
     * @param bad those that were bad
     * @param evidence what speaks against the version
     */
    record Tally(long answers, long bad, double evidence) {}
}
