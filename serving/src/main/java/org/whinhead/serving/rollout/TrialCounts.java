package org.whinhead.serving.rollout;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Counts what becomes of a service's requests during a roll-out, at one daemon. */
final class TrialCounts {

    private final Map<Side, Counts> mCounts = new HashMap<>();

    void sent(final String route, final boolean onTrial) {
        counts(route, onTrial).mSent++;
    }

    void answered(final String route, final boolean onTrial, final Duration taken) {
        counts(route, onTrial).mTimes.add(taken);
    }

    void failed(final String route, final boolean onTrial) {
        counts(route, onTrial).mFailed++;
    }

    List<RouteOutcomes> outcomes() {
        final List<RouteOutcomes> outcomes = new ArrayList<>();
        mCounts.forEach(
                (side, counts) ->
                        outcomes.add(
                                new RouteOutcomes(
                                        side.route(),
                                        side.onTrial(),
                                        counts.mSent,
                                        counts.mFailed,
                                        counts.mTimes.toList())));
        return outcomes;
    }

    private Counts counts(final String route, final boolean onTrial) {
        return mCounts.computeIfAbsent(new Side(route, onTrial), side -> new Counts());
    }

    private record Side(String route, boolean onTrial) {}

    private static final class Counts {
        private final LatencyCounts mTimes = new LatencyCounts();
        private long mSent;
        private long mFailed;
    }
}
