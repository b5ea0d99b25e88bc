package org.whinhead.serving.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Counts what becomes of a service's requests during a roll-out, at one daemon. */
final class OutcomeCounter {

    private final Map<VersionKey, Counts> mCounts = new HashMap<>();

    void recordSend(final String route, final boolean onTrial) {
        counts(route, onTrial).mSent++;
    }

    void recordAnswer(final String route, final boolean onTrial, final Duration taken) {
        counts(route, onTrial).mTimes.add(taken);
    }

    void recordFailure(final String route, final boolean onTrial) {
        counts(route, onTrial).mFailed++;
    }

    List<RouteOutcomes> outcomes() {
        final List<RouteOutcomes> outcomes = new ArrayList<>();
        mCounts.forEach(
                (side, counts) ->
                        outcomes.add(
                                new RouteOutcomes(
                                        side.route(),
                                        side.canary(),
                                        counts.mSent,
                                        counts.mFailed,
                                        counts.mTimes.toList())));
        return outcomes;
    }

    private Counts counts(final String route, final boolean onTrial) {
        return mCounts.computeIfAbsent(new VersionKey(route, onTrial), side -> new Counts());
    }

    private record VersionKey(String route, boolean canary) {}

    private static final class Counts {
        private final LatencyHistogram mTimes = new LatencyHistogram();
        private long mSent;
        private long mFailed;
    }
}
