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
 * Compares a new version with the old one, from the outcomes that all daemons report.
 *
 * <p>Each route is tested separately, since a version may be bad on one route only, and all routes
 * are tested together, since one route alone may have too few requests. Failures and delays are
 * tested separately as well, since the usual rate of one kind would hide a fault of the other. The
 * baseline is the old version's answers of the same seconds, so that a fault that affects both
 * versions is not attributed to the new one.
 */
final class CanaryAnalysis {

    /** A fault that affects this share of a route's answers must not be missed. */
    private static final double ROUTE_AFFECTED_SHARE = 0.4;

    /** The same for the answers of all routes that were given under load. */
    private static final double OVERALL_AFFECTED_SHARE = 0.3;

    /** The accepted probability of missing such a fault. */
    private static final double MAX_MISS_PROBABILITY = 0.002;

    /** The probability of a missed fault that the canary phase aims at, requests permitting. */
    private static final double TARGET_MISS_PROBABILITY = MAX_MISS_PROBABILITY / 10;

    /** The probability of so many bad answers by chance below which a version is worse. */
    private static final double MIN_TAIL_PROBABILITY = 0.0005;

    /** The log likelihood ratio of a fault up to which the version may take over. */
    private static final double MAX_PROMISING_LOG_RATIO = 4;

    /** The number of answers that the version needs before it may take over. */
    private static final int MIN_PROMISING_ANSWERS = 10;

    /** Routes with a smaller share of the service's answers need not be shown to be good. */
    private static final double MINOR_TRAFFIC_SHARE = 0.1;

    private final Map<String, RolloutEvidence> mEvidence = new HashMap<>();
    private final Set<String> mUpdatedDaemons = new HashSet<>();
    private final RequestRate mRate = new RequestRate();
    private final Map<String, RouteComparison> mRoutes = new HashMap<>();
    private final CusumDetector mOverall = new CusumDetector();
    private long mInitialAnswers;

    /** Adds a daemon's counts; counts that are older than the known ones are ignored. */
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
     * Evaluates the counts that were added since the last call.
     *
     * @param now the current time
     */
    void evaluate(final Instant now) {
        mUpdatedDaemons.forEach(
                daemon -> mRate.addReport(daemon, sent(mEvidence.get(daemon).outcomes()), now));
        mUpdatedDaemons.clear();
        final Map<String, RouteComparison.Totals> old = new HashMap<>();
        final Map<String, RouteComparison.Totals> canary = new HashMap<>();
        for (final RolloutEvidence evidence : mEvidence.values()) {
            for (final RouteOutcomes outcomes : evidence.outcomes()) {
                (outcomes.canary() ? canary : old)
                        .computeIfAbsent(outcomes.route(), route -> new RouteComparison.Totals())
                        .add(outcomes);
            }
        }
        final Set<String> routes = new HashSet<>(old.keySet());
        routes.addAll(canary.keySet());
        for (final String route : routes) {
            mRoutes.computeIfAbsent(route, name -> new RouteComparison())
                    .compare(
                            old.getOrDefault(route, new RouteComparison.Totals()),
                            canary.getOrDefault(route, new RouteComparison.Totals()),
                            mOverall);
        }
    }

    /** Returns the name of a route with a fault, or of all routes together. */
    Optional<String> findFault() {
        for (final Map.Entry<String, RouteComparison> route : mRoutes.entrySet()) {
            if (route.getValue().isBad()) {
                return Optional.of("route " + route.getKey());
            }
        }
        return mOverall.isBad() ? Optional.of("all routes together") : Optional.empty();
    }

    /** Returns whether the version may take over, though it isn't shown to be good yet. */
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
     * Returns the name of a route that isn't shown to be free of faults, or of all routes together.
     *
     * @param loadedShare the share of the answers that were given under load, 0 to 1; a fault that
     *     needs load shows in no other answers
     * @return the name; empty if the version is good
     */
    Optional<String> findUnproven(final double loadedShare) {
        final Optional<String> bad = findFault();
        if (bad.isPresent()) {
            return bad;
        }
        for (final Map.Entry<String, RouteComparison> route : mRoutes.entrySet()) {
            if (!isGood(route.getValue())) {
                return Optional.of("route " + route.getKey());
            }
        }
        final double affectedShare = OVERALL_AFFECTED_SHARE * loadedShare;
        return isRuledOut(samples(RouteComparison::failures), affectedShare)
                        && isRuledOut(samples(RouteComparison::delays), affectedShare)
                ? Optional.empty()
                : Optional.of("all routes together");
    }

    private List<AnswerSample> samples(final Function<RouteComparison, AnswerSample> kind) {
        return mRoutes.values().stream().map(kind).toList();
    }

    /**
     * Returns whether a route is good; on a minor one, which has too few requests to show it, a
     * fault must not be likelier than none.
     */
    private boolean isGood(final RouteComparison route) {
        if (isMinor(route)) {
            return route.logRatio(ROUTE_AFFECTED_SHARE) <= 0;
        }
        return isRuledOut(List.of(route.failures()), ROUTE_AFFECTED_SHARE)
                && isRuledOut(List.of(route.delays()), ROUTE_AFFECTED_SHARE);
    }

    private static boolean isRuledOut(
            final List<AnswerSample> samples, final double affectedShare) {
        return AnswerSample.probabilityOfAtMost(samples, affectedShare) <= MAX_MISS_PROBABILITY
                && AnswerSample.probabilityOfAtLeast(samples) >= MIN_TAIL_PROBABILITY;
    }

    private boolean isMinor(final RouteComparison route) {
        return route.oldAnswers() < MINOR_TRAFFIC_SHARE * oldAnswers();
    }

    private long oldAnswers() {
        return mRoutes.values().stream().mapToLong(RouteComparison::oldAnswers).sum();
    }

    /**
     * Returns the number of answers that each route needs, by which the canary requests are split.
     *
     * @return the needs of all routes but the minor ones
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
        final double trafficShare = (double) route.oldAnswers() / oldAnswers();
        return new RouteSampleNeed(name, trafficShare, Math.max(needed - unanswered, 0));
    }

    /** Returns whether the old version fails so often that the new one can't be evaluated. */
    boolean isOldFailing() {
        return mRoutes.values().stream().anyMatch(RouteComparison::isOldFailing);
    }

    /** Returns the requests per second that reach the service; 0 if unknown. */
    double requestsPerSecond(final Instant now) {
        return mRate.perSecond(now);
    }

    /** Returns the mean age of the daemons' last counts. */
    Duration meanReportAge(final Instant now) {
        return mRate.meanReportAge(now);
    }

    /** Returns the number of new answers that the daemons' first reports contained. */
    long initialAnswers() {
        return mInitialAnswers;
    }

    /** Returns the number of requests that reached the service since the order. */
    long requests() {
        return mEvidence.values().stream().mapToLong(evidence -> sent(evidence.outcomes())).sum();
    }

    /** Returns the number of requests that reached the new version. */
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

    /** Returns the totals of the evaluated answers. */
    Tally tally() {
        final Collection<RouteComparison> routes = mRoutes.values();
        return new Tally(
                routes.stream().mapToLong(RouteComparison::answers).sum(),
                routes.stream().mapToLong(RouteComparison::bad).sum(),
                mOverall.sum());
    }

    /**
     * The totals of the evaluated answers of the new version.
     *
     * @param answers the number of answers
     * @param bad the number of bad answers
     * @param evidence the sum of log likelihood ratios of a fault
     */
    record Tally(long answers, long bad, double evidence) {}
}
