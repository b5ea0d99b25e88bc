package org.whinhead.simulation.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Collectors;
import org.whinhead.serving.capacity.CapacityOrder;
import org.whinhead.serving.capacity.CapacityPlanner;
import org.whinhead.serving.capacity.CapacitySettings;
import org.whinhead.serving.capacity.DemandMeter;
import org.whinhead.serving.configuration.ScalingLimits;
import org.whinhead.serving.configuration.ServiceSpec;

/**
 * Simulates a day in steps of a tenth of a second with the daemons' capacity planner.
 *
 * <p>All endpoints serve one queue, without prompt caches or batches. The model shows missing
 * capacity and its cost, not the waiting time of single requests.
 */
public final class CapacitySimulation {

    private static final double STEP_SECONDS = 0.1;

    /** Steps between two planning rounds; a change of the endpoint list starts one at once. */
    private static final int STEPS_PER_ROUND = 10;

    private static final int STEPS_PER_WINDOW = 20;

    /** The time from a kill of all daemons until one of them holds the lease. */
    private static final double LEASE_TAKEOVER_SECONDS = 3;

    private static final double MILLIS_PER_SECOND = 1_000;
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private final CapacityDay mDay;
    private final ServiceSpec mService;
    private final SimulatedCloud mCloud;
    private final SimulatedQueue mQueue;
    private final CapacitySettings mSettings;
    private final Deque<Double> mReportedTokens = new ArrayDeque<>();
    private CapacityPlanner mPlanner;
    private DemandMeter mMeter = new DemandMeter();
    private double mOfferedAtRestart;
    private double mHolderReadyAt = Double.NEGATIVE_INFINITY;
    private int mListedCount;

    private CapacitySimulation(
            final CapacityDay day, final CapacitySettings settings, final long seed) {
        mDay = day;
        mSettings = settings;
        mPlanner = new CapacityPlanner(settings);
        mCloud = new SimulatedCloud(day);
        mQueue = new SimulatedQueue(day.demand(), new Random(seed));
        mService =
                new ServiceSpec(
                        SimulatedCloud.SERVICE,
                        "/health",
                        1,
                        true,
                        Optional.empty(),
                        Optional.of(limits(day)));
    }

    private static ScalingLimits limits(final CapacityDay day) {
        return new ScalingLimits(
                1,
                day.mostInDomain(),
                Duration.ofMillis(Math.round(day.bootSeconds() * MILLIS_PER_SECOND)),
                day.reclaimablePrice(),
                day.domains().stream()
                        .collect(
                                Collectors.toMap(
                                        CapacityDay.Domain::name, CapacityDay.Domain::price)));
    }

    /**
     * Simulates a day.
     *
     * @param day the day
     * @param settings the settings of the planner
     * @param seed the seed of the random requests
     * @return the result
     */
    public static CapacityOutcome run(
            final CapacityDay day, final CapacitySettings settings, final long seed) {
        return new CapacitySimulation(day, settings, seed).run();
    }

    private CapacityOutcome run() {
        final int steps = (int) Math.round(mDay.lengthSeconds() / STEP_SECONDS);
        final CapacityOutcome.Collector collector =
                new CapacityOutcome.Collector((steps + STEPS_PER_WINDOW - 1) / STEPS_PER_WINDOW);
        final int lead = (int) Math.round(mDay.leadSeconds() / STEP_SECONDS);
        for (int step = -lead; step < steps; step++) {
            final double now = step * STEP_SECONDS;
            applyReclaims(now);
            applyRestarts(now);
            recordDemand(now);
            plan(step, now);
            collector.addCost(mCloud.price(now) * STEP_SECONDS);
            if (step >= 0) {
                final double tokens =
                        mCloud.countServing(now) * mDay.endpointTokens() * STEP_SECONDS;
                collector.addServed(step / STEPS_PER_WINDOW, mQueue.serve(now, tokens));
            }
        }
        return collector.outcome(mQueue.offeredTokens() / mDay.endpointTokens());
    }

    private void applyReclaims(final double now) {
        for (final CapacityDay.Reclaim reclaim : mDay.reclaims()) {
            if (Math.abs(reclaim.at() - now) < STEP_SECONDS / 2) {
                mCloud.reclaim(reclaim);
                mHolderReadyAt = Math.max(mHolderReadyAt, now + reclaim.holderMissingSeconds());
            }
        }
    }

    /** Kills all daemons: the planner loses its state, and demand is counted from 0 again. */
    private void applyRestarts(final double now) {
        for (final double at : mDay.restarts()) {
            if (Math.abs(at - now) < STEP_SECONDS / 2) {
                mPlanner = new CapacityPlanner(mSettings);
                mMeter = new DemandMeter();
                mOfferedAtRestart = mQueue.offeredTokens();
                mReportedTokens.clear();
                mHolderReadyAt = Math.max(mHolderReadyAt, now + LEASE_TAKEOVER_SECONDS);
            }
        }
    }

    /** Adds requests, whose tokens reach the lease holder after the report delay. */
    private void recordDemand(final double now) {
        mQueue.addArrivals(now, STEP_SECONDS);
        mReportedTokens.addLast(mQueue.offeredTokens() - mOfferedAtRestart);
        while (mReportedTokens.size() > 1 + mDay.reportSeconds() / STEP_SECONDS) {
            mReportedTokens.removeFirst();
        }
    }

    private void plan(final int step, final double now) {
        final Instant instant = instant(now);
        final boolean isRound = Math.floorMod(step, STEPS_PER_ROUND) == 0;
        if (isRound) {
            mMeter.addTotal(
                    Math.round(mReportedTokens.getFirst()), mDay.demand().requestTokens(), instant);
        }
        final var listed = mCloud.listedEndpoints(now);
        final boolean isListChanged = listed.size() != mListedCount;
        mListedCount = listed.size();
        if (now < mHolderReadyAt || !(isRound || isListChanged)) {
            return;
        }
        final CapacityPlanner.Load load =
                new CapacityPlanner.Load(
                        mMeter.tokensPerSecond(),
                        mMeter.minimumTokensPerSecond(),
                        mDay.learnedTokens());
        for (final CapacityOrder order : mPlanner.plan(mService, listed, load, instant)) {
            mPlanner.recordAnswer(order, mCloud.applyOrder(order, now));
        }
    }

    private static Instant instant(final double seconds) {
        return START.plusMillis(Math.round(seconds * MILLIS_PER_SECOND));
    }
}
