package org.whinhead.daemon.burn;

import java.time.Instant;
import java.time.InstantSource;
import java.util.Objects;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;
import org.whinhead.api.model.Customer;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.daemon.request.CallerReply;
import org.whinhead.report.BurnRecorder;
import org.whinhead.report.DaemonReport;
import org.whinhead.report.Objective;
import org.whinhead.report.RequestSample;
import org.whinhead.report.SeriesKey;
import org.whinhead.settings.deployment.DeploymentSettings;
import org.whinhead.settings.deployment.DocumentValue.TierEntry;

/**
 * Takes one sample of each ended request. IO threads leave their samples in a bounded queue without
 * a lock; the decision thread counts them.
 *
 * <p>Guards against a flood of refused requests: they end on IO threads, and an event for each in
 * the decision ring would take the room that requests in progress need. When the queue is full the
 * sample is dropped, and the report says how many were.
 */
public final class BurnCollector {

    /** The most samples that wait to be counted. */
    static final int MOST_WAITING = 16_384;

    private final BurnRecorder mRecorder;
    private final InstantSource mClock;
    private final Supplier<DeploymentSettings> mSettings;
    private final Queue<Supplier<RequestSample>> mWaiting = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mWaitingCount = new AtomicInteger();
    private final LongAdder mDropped = new LongAdder();
    private DeploymentSettings mJudgedBy;

    /**
     * Makes a collector.
     *
     * @param recorder counts the samples
     * @param clock tells the time
     * @param settings the settings in force, whose tiers the samples are judged by
     */
    public BurnCollector(
            final BurnRecorder recorder,
            final InstantSource clock,
            final Supplier<DeploymentSettings> settings) {
        mRecorder = Objects.requireNonNull(recorder, "recorder");
        mClock = Objects.requireNonNull(clock, "clock");
        mSettings = Objects.requireNonNull(settings, "settings");
    }

    /**
     * Begins to measure a request.
     *
     * @param spec the request
     * @param reply where its answer goes
     * @return the reply to be used from now on
     */
    public MeasuredReply measure(final RequestSpec spec, final CallerReply reply) {
        return new MeasuredReply(spec, reply, mClock);
    }

    /**
     * Takes the sample of a request whose connection is done with it; on any thread.
     *
     * @param reply the request's measure
     * @param whole whether the response was written to its end
     */
    public void ended(final MeasuredReply reply, final boolean whole) {
        final Instant at = mClock.instant();
        offer(() -> reply.sample(whole, at));
    }

    /**
     * Takes the sample of a request that was refused before it was taken in; on any thread.
     *
     * @param customer who asked
     * @param refusal what was answered
     */
    public void refused(final Customer customer, final Refusal refusal) {
        final RequestSample sample =
                new RequestSample(
                        new SeriesKey(customer.id(), customer.tier().name()),
                        Outcomes.of(refusal),
                        Optional.empty(),
                        Optional.empty(),
                        0,
                        0,
                        mClock.instant());
        offer(() -> sample);
    }

    /** Returns how many samples wait to be counted, for metrics. */
    public int waiting() {
        return mWaitingCount.get();
    }

    /** Counts the samples that wait; on the decision thread. */
    public void count() {
        adoptObjectives();
        mRecorder.addLeftOut(mDropped.sumThenReset());
        Supplier<RequestSample> next = mWaiting.poll();
        while (next != null) {
            mWaitingCount.decrementAndGet();
            mRecorder.record(next.get());
            next = mWaiting.poll();
        }
    }

    /** Returns what was counted so far; on the decision thread. */
    public DaemonReport report() {
        count();
        return mRecorder.report(mClock.instant());
    }

    private void offer(final Supplier<RequestSample> sample) {
        if (mWaitingCount.incrementAndGet() > MOST_WAITING) {
            mWaitingCount.decrementAndGet();
            mDropped.increment();
            return;
        }
        mWaiting.add(sample);
    }

    private void adoptObjectives() {
        final DeploymentSettings settings = mSettings.get();
        if (settings != mJudgedBy) {
            mJudgedBy = settings;
            mRecorder.setObjectives(
                    settings.tiers().stream().map(BurnCollector::objective).toList());
        }
    }

    private static Objective objective(final TierEntry entry) {
        return new Objective(
                entry.tier().name(),
                entry.availabilityShare(),
                entry.latencyShare(),
                entry.tier().firstTokenTarget(),
                entry.tier().betweenTokensTarget());
    }
}
