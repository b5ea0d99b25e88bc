package org.whinhead.serving.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Judges a new version by what all daemons have seen of it and of the old one.
 *
 * <p>Each route is tested apart, since a version may be bad on one route only, and all of them
 * together, since one route alone may have too few requests to tell. Failures and delays are tested
 * apart as well: the usual ones of one kind would hide a fault of the other. The old version's
 * answers in the same seconds are what the new one is held against: a fault that hits both is not
 * the version's.
 */
final class CanaryAnalysis {

    /** The part of a route's answers that a fault hits which must not be overlooked. */
    private static final double ROUTE_AFFECTED_SHARE = 0.4;

    /** The same of all routes' answers that were given under load. */
    private static final double OVERALL_AFFECTED_SHARE = 0.3;

    /** The chance of overlooking such a fault that is accepted. */
    private static final double MAX_MISS_PROBABILITY = 0.002;

    /** The chance that the trial is to bring it down to, where it may get enough requests. */
    private static final double TARGET_MISS_PROBABILITY = MAX_MISS_PROBABILITY / 10;

    /** The chance of so many bad answers below which a version is worse than the old one. */
    private static final double MIN_TAIL_PROBABILITY = 0.0005;

    /** The log likelihood ratio of a fault up to which the version may get everything. */
    private static final double MAX_PROMISING_LOG_RATIO = 4;

    /** Answers without which the version may not get everything. */
    private static final int MIN_PROMISING_ANSWERS = 10;

    /** Routes with a smaller part of the service's answers need not be shown to be good. */
    private static final double MINOR_TRAFFIC_SHARE = 0.1;

    private final Map<String, RolloutEvidence> mEvidence = new HashMap<>();
    private final Set<String> mUpdatedDaemons = new HashSet<>();
    private final RequestRate mRate = new RequestRate();
    private final Map<String, RouteComparison> mRoutes = new HashMap<>();
    private final CusumDetector mOverall = new CusumDetector();
    private long mInitialAnswers;

    /** Takes a daemon's counts; older ones than those that are known change nothing. */
    void addEvidence(final RolloutEvidence evidence) {
        final RolloutEvidence known = mEvidence.get(evidence.daemon());
        if (known == null) {
            mInitialAnswers += canaryAnswers(evidence);
        }
        if (known == null || sent(evidence.outcomes()) >= sent(known.outcomes())) {
            mEvidence.put(evidence.daemon(), evidence);
            mUpdatedDaemons.add(evidence.daemon());
        }
    }

    private static long canaryAnswers(final RolloutEvidence evidence) {
        return evidence.outcomes().stream()
                .filter(RouteOutcomes::canary)
                .mapToLong(RouteOutcomes::answers)
                .sum();
    }

    private static long sent(final List<RouteOutcomes> outcomes) {
        return outcomes.stream().mapToLong(RouteOutcomes::sent).sum();
    }

    /**
     * Judges what has come since the last call.
     *
     * @param now the time
     */
    void evaluate(final Instant now) {
        mUpdatedDaemons.forEach(
                daemon -> mRate.addReport(daemon, sent(mEvidence.get(daemon).outcomes()), now));
        mUpdatedDaemons.clear();
        final Map<String, RouteComparison.Totals> old = new HashMap<>();
        final Map<String, RouteComparison.Totals> trial = new HashMap<>();
        for (final RolloutEvidence evidence : mEvidence.values()) {
            for (final RouteOutcomes outcomes : evidence.outcomes()) {
                (outcomes.canary() ? trial : old)
                        .computeIfAbsent(outcomes.route(), route -> new RouteComparison.Totals())
                        .add(outcomes);
            }
        }
        final Set<String> routes = new HashSet<>(old.keySet());
        routes.addAll(trial.keySet());
        for (final String route : routes) {
            mRoutes.computeIfAbsent(route, name -> new RouteComparison())
                    .compare(
                            old.getOrDefault(route, new RouteComparison.Totals()),
                            trial.getOrDefault(route, new RouteComparison.Totals()),
                            mOverall);
        }
    }

    /** Names what is bad: a route, or all of them together. */
    Optional<String> findFault() {
        for (final Map.Entry<String, RouteComparison> route : mRoutes.entrySet()) {
            if (route.getValue().isBad()) {
                return Optional.of("route " + route.getKey());
            }
        }
        return mOverall.isBad() ? Optional.of("all routes together") : Optional.empty();
    }

    /** Tells whether the version may get more requests, though it isn't known to be good yet. */
    boolean isPromising() {
        final Collection<RouteComparison> routes = mRoutes.values();
        return findFault().isEmpty()
                && tally().answers() >= MIN_PROMISING_ANSWERS
                && routes.stream()
                        .allMatch(
                                route ->
                                        route.logRatio(ROUTE_AFFECTED_SHARE)
                                                <= MAX_PROMISING_LOG_RATIO)
                && routes.stream()
                                .mapToDouble(route -> route.logRatio(OVERALL_AFFECTED_SHARE))
                                .sum()
                        <= MAX_PROMISING_LOG_RATIO;
    }

    /**
     * Names what hasn't been shown to be free of faults.
     *
     * @param loadedPart the part of the answers that were given under load: a fault that needs load
     *     shows in no others
     * @return a route, or all of them together; empty if the version is good
     */
    Optional<String> findUnproven(final double loadedPart) {
        final Optional<String> bad = findFault();
        if (bad.isPresent()) {
            return bad;
        }
        for (final Map.Entry<String, RouteComparison> route : mRoutes.entrySet()) {
            if (!isGood(route.getValue())) {
                return Optional.of("route " + route.getKey());
            }
        }
        final double hitPart = OVERALL_AFFECTED_SHARE * loadedPart;
        return isRuledOut(samples(RouteComparison::failures), hitPart)
                        && isRuledOut(samples(RouteComparison::delays), hitPart)
                ? Optional.empty()
                : Optional.of("all routes together");
    }

    private List<AnswerSample> samples(final Function<RouteComparison, AnswerSample> kind) {
        return mRoutes.values().stream().map(kind).toList();
    }

    /** A route that few requests take can't be shown to be good; it must not be suspected. */
    private boolean isGood(final RouteComparison route) {
        if (isMinor(route)) {
            return route.logRatio(ROUTE_AFFECTED_SHARE) <= 0;
        }
        return isRuledOut(List.of(route.failures()), ROUTE_AFFECTED_SHARE)
                && isRuledOut(List.of(route.delays()), ROUTE_AFFECTED_SHARE);
    }

    private static boolean isRuledOut(final List<AnswerSample> samples, final double hitPart) {
        return AnswerSample.probabilityOfAtMost(samples, hitPart) <= MAX_MISS_PROBABILITY
                && AnswerSample.probabilityOfAtLeast(samples) >= MIN_TAIL_PROBABILITY;
    }

    private boolean isMinor(final RouteComparison route) {
        return route.oldAnswers() < MINOR_TRAFFIC_SHARE * oldAnswers();
    }

    private long oldAnswers() {
        return mRoutes.values().stream().mapToLong(RouteComparison::oldAnswers).sum();
    }

    /**
     * Says what each route needs, so that the trial's requests can be split accordingly.
     *
     * @return the needs of all routes but those that few requests take
     */
    List<RouteSampleNeed> sampleNeeds() {
        return mRoutes.entrySet().stream()
                .filter(route -> route.getValue().oldAnswers() > 0 && !isMinor(route.getValue()))
                .map(route -> sampleNeed(route.getKey(), route.getValue()))
                .toList();
    }

    private RouteSampleNeed sampleNeed(final String name, final RouteComparison route) {
        final int needed =
                Math.max(
                        route.failures()
                                .requiredAnswers(ROUTE_AFFECTED_SHARE, TARGET_MISS_PROBABILITY),
                        route.delays()
                                .requiredAnswers(ROUTE_AFFECTED_SHARE, TARGET_MISS_PROBABILITY));
        final long unanswered = canaryRequests(name) - route.answers();
        final double trafficPart = (double) route.oldAnswers() / oldAnswers();
        return new RouteSampleNeed(name, trafficPart, Math.max(needed - unanswered, 0));
    }

    /** Tells whether the old version fails so often now that the new one can't be judged. */
    boolean isOldFailing() {
        return mRoutes.values().stream().anyMatch(RouteComparison::isOldFailing);
    }

    /** Returns the requests a second that reach the service; 0 if that isn't known yet. */
    double requestsPerSecond(final Instant now) {
        return mRate.perSecond(now);
    }

    /** Returns how old the daemons' counts are in the mean. */
    Duration meanReportAge(final Instant now) {
        return mRate.meanReportAge(now);
    }

    /** Counts answers of the new version that daemons already had when they were first heard. */
    long initialAnswers() {
        return mInitialAnswers;
    }

    /** Counts requests that reached the service since the order. */
    long requests() {
        return mEvidence.values().stream().mapToLong(evidence -> sent(evidence.outcomes())).sum();
    }

    /** Counts requests that reached the new version. */
    long canaryRequests() {
        return mEvidence.values().stream()
                .flatMap(evidence -> evidence.outcomes().stream())
                .filter(RouteOutcomes::canary)
                .mapToLong(RouteOutcomes::sent)
                .sum();
    }

    private long canaryRequests(final String route) {
        return mEvidence.values().stream()
                .flatMap(evidence -> evidence.outcomes().stream())
                .filter(outcomes -> outcomes.canary() && outcomes.route().equals(route))
                .mapToLong(RouteOutcomes::sent)
                .sum();
    }

    /** Counts answers of the new version that were judged, and how many of them were bad. */
    Tally tally() {
        final Collection<RouteComparison> routes = mRoutes.values();
        return new Tally(
                routes.stream().mapToLong(RouteComparison::answers).sum(),
                routes.stream().mapToLong(RouteComparison::bad).sum(),
                mOverall.sum());
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
