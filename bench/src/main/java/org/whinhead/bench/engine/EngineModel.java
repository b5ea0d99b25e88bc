package org.whinhead.bench.engine;

import java.time.Duration;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.whinhead.api.model.EndpointId;
import org.whinhead.routing.CacheEvent;
import org.whinhead.routing.LoadReport;

/** One engine: each step gives a token to every sequence in the batch and computes some prompts. */
public final class EngineModel {

    private final int mNumber;
    private final EndpointId mId;
    private final EngineSettings mSettings;
    private final Simulation mSimulation;
    private final EngineListener mListener;
    private final SimulatedPrefixCache mCache;
    private final List<Sequence> mBatch = new ArrayList<>();
    private final PriorityQueue<Waiting> mWaiting = new PriorityQueue<>();
    private long mArrivals;
    private boolean mStepping;

    /**
     * Makes an idle engine with an empty cache.
     *
     * @param number its number
     * @param id its endpoint
     * @param settings how fast it is
     * @param simulation the simulated time
     * @param listener told what it does
     */
    public EngineModel(
            final int number,
            final EndpointId id,
            final EngineSettings settings,
            final Simulation simulation,
            final EngineListener listener) {
        mNumber = number;
        mId = id;
        mSettings = settings;
        mSimulation = simulation;
        mListener = listener;
        mCache =
                new SimulatedPrefixCache(
                        settings.cacheBlocks(),
                        hash -> tell(CacheEvent.Kind.STORED, hash),
                        hash -> tell(CacheEvent.Kind.EVICTED, hash));
    }

    /**
     * Takes a sequence.
     *
     * @param sequence the sequence
     */
    public void submit(final Sequence sequence) {
        mWaiting.add(new Waiting(sequence, sequence.spec().tier().priority(), mArrivals++));
        if (!mStepping) {
            mStepping = true;
            step();
        }
    }

    /**
     * Takes a sequence out, wherever it is; nothing more is computed for it.
     *
     * @param sequence the sequence
     */
    public void cancel(final Sequence sequence) {
        mBatch.remove(sequence);
        mWaiting.removeIf(waiting -> waiting.sequence() == sequence);
    }

    /** Returns the load now. */
    public LoadReport load() {
        return new LoadReport(mId, mSimulation.now(), mBatch.size(), mWaiting.size(), 0);
    }

    private void step() {
        fillBatch();
        if (mBatch.isEmpty()) {
            mStepping = false;
            return;
        }
        int budget = mSettings.prefillTokens();
        final List<Sequence> decoding = new ArrayList<>();
        for (final Sequence sequence : mBatch) {
            budget -= sequence.prefill(budget);
            if (!sequence.isPrefilling()) {
                decoding.add(sequence);
            }
        }
        final long micros =
                mSettings.stepMicros()
                        + mSettings.decodeMicros() * decoding.size()
                        + mSettings.prefillMicros() * (mSettings.prefillTokens() - budget);
        mSimulation.after(Duration.of(micros, ChronoUnit.MICROS), () -> endStep(decoding));
    }

    private void endStep(final List<Sequence> decoding) {
        final Instant now = mSimulation.now();
        decoding.retainAll(mBatch);
        for (final Sequence sequence : decoding) {
            if (sequence.generated() == 0) {
                mCache.store(sequence.spec().prefixHashes());
            }
            sequence.decode(now);
            mListener.decoded(mNumber, sequence);
            if (sequence.isDone()) {
                mBatch.remove(sequence);
                mListener.finished(mNumber, sequence);
            }
        }
        step();
    }

    private void fillBatch() {
        while (mBatch.size() < mSettings.slots() && !mWaiting.isEmpty()) {
            final Sequence sequence = mWaiting.remove().sequence();
            final int cached = mCache.lookup(sequence.spec().prefixHashes());
            final int cachedTokens = cached * mSettings.blockTokens();
            sequence.begin(Math.max(1, sequence.spec().promptTokens() - cachedTokens));
            mBatch.add(sequence);
        }
    }

    private void tell(final CacheEvent.Kind kind, final long hash) {
        mListener.cacheChanged(new CacheEvent(mId, kind, hash));
    }

    /** A sequence that waits for a slot. */
    private record Waiting(Sequence sequence, int priority, long arrival)
            implements Comparable<Waiting> {
        private static final Comparator<Waiting> ORDER =
                Comparator.comparingInt(Waiting::priority)
                        .reversed()
                        .thenComparingLong(Waiting::arrival);

        @Override
        public int compareTo(final Waiting other) {
            return ORDER.compare(this, other);
        }
    }
}
