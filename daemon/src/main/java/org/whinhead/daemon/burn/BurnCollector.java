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
 * Collects one sample of each ended request for the error-budget report. IO threads add samples to
 * a bounded queue without a lock; the decision thread records them.
 *
 * <p>Requests that are refused end on IO threads; a flood of them in the decision ring would take
 * the slots that requests in progress need. When the queue is full, samples are dropped, and the
 * report contains their number.
 */
public final class BurnCollector {

    /** The maximum number of samples that wait to be recorded. */
    static final int MAX_WAITING_SAMPLES = 16_384;

    private final BurnRecorder mRecorder;
    private final InstantSource mClock;
    private final Supplier<DeploymentSettings> mSettings;
    private final Queue<Supplier<RequestSample>> mWaiting = new ConcurrentLinkedQueue<>();
    private final AtomicInteger mWaitingCount = new AtomicInteger();
    private final LongAdder mDropped = new LongAdder();
    private DeploymentSettings mAppliedSettings;

    /**
     * Creates a collector.
     *
     * @param recorder records the samples
     * @param clock the source of the current time
     * @param settings the current settings, whose tiers have the objectives for the samples
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
     * Starts measuring a request.
     *
     * @param spec the request
     * @param reply sends the answer to the caller
     * @return a reply that measures and delegates, to use in place of the given one
     */
    public MeasuredReply measure(final RequestSpec spec, final CallerReply reply) {
        return new MeasuredReply(spec, reply, mClock);
    }

    /**
     * Adds the sample of a request whose response ended; called on any thread.
     *
     * @param reply the measuring reply of the request
     * @param whole whether the whole response was written
     */
    public void recordEnd(final MeasuredReply reply, final boolean whole) {
        final Instant at = mClock.instant();
        offer(() -> reply.sample(whole, at));
    }

    /**
     * Adds the sample of a request that was refused before its submission; called on any thread.
     *
     * @param customer the customer of the request
     * @param refusal the refusal that was sent
     */
    public void recordRefusal(final Customer customer, final Refusal refusal) {
        final RequestSample sample =
                new RequestSample(
                        new SeriesKey(customer.id(), customer.tier().name()),
                        OutcomeClassifier.classify(refusal),
                        Optional.empty(),
                        Optional.empty(),
                        0,
                        0,
                        mClock.instant());
        offer(() -> sample);
    }

    /** Returns the number of samples that wait to be recorded, for metrics. */
    public int waitingSamples() {
        return mWaitingCount.get();
    }

    /** Records the waiting samples; called on the decision thread. */
    public void recordWaiting() {
        updateObjectives();
        mRecorder.addLeftOut(mDropped.sumThenReset());
        Supplier<RequestSample> next = mWaiting.poll();
        while (next != null) {
            mWaitingCount.decrementAndGet();
            mRecorder.record(next.get());
            next = mWaiting.poll();
        }
    }

    /** Returns the report of all samples so far; called on the decision thread. */
    public DaemonReport report() {
        recordWaiting();
        return mRecorder.report(mClock.instant());
    }

    private void offer(final Supplier<RequestSample> sample) {
        if (mWaitingCount.incrementAndGet() > MAX_WAITING_SAMPLES) {
            mWaitingCount.decrementAndGet();
            mDropped.increment();
            return;
        }
        mWaiting.add(sample);
    }

    private void updateObjectives() {
        final DeploymentSettings settings = mSettings.get();
        if (settings != mAppliedSettings) {
            mAppliedSettings = settings;
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
