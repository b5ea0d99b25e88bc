package org.whinhead.serving.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Counts the outcomes of a service's requests during a roll-out, at one daemon. */
final class OutcomeCounter {

    private final Map<VersionKey, Counts> mCounts = new HashMap<>();

    void recordSend(final String route, final boolean canary) {
        counts(route, canary).mSent++;
    }

    void recordAnswer(final String route, final boolean canary, final Duration latency) {
        counts(route, canary).mLatencies.add(latency);
    }

    void recordFailure(final String route, final boolean canary) {
        counts(route, canary).mFailed++;
    }

    List<RouteOutcomes> outcomes() {
        final List<RouteOutcomes> outcomes = new ArrayList<>();
        mCounts.forEach(
                (version, counts) ->
                        outcomes.add(
                                new RouteOutcomes(
                                        version.route(),
                                        version.canary(),
                                        counts.mSent,
                                        counts.mFailed,
                                        counts.mLatencies.toList())));
        return outcomes;
    }

    private Counts counts(final String route, final boolean canary) {
        return mCounts.computeIfAbsent(new VersionKey(route, canary), version -> new Counts());
    }

    private record VersionKey(String route, boolean canary) {}

    private static final class Counts {
        private final LatencyHistogram mLatencies = new LatencyHistogram();
        private long mSent;
        private long mFailed;
    }
}
