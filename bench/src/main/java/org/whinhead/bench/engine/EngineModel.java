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

/**
 * Simulates one engine with continuous batching. Each step decodes one token for every prefilled
 * sequence of the batch and computes a bounded number of prompt tokens.
 */
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
     * Creates an idle engine with an empty prefix cache.
     *
     * @param number number that the listener receives with each event
     * @param id the engine's endpoint
     * @param settings batch size, cache size and speed
     * @param simulation simulated clock and event queue
     * @param listener receives the engine's events
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
                        hash -> publishCacheEvent(CacheEvent.Kind.STORED, hash),
                        hash -> publishCacheEvent(CacheEvent.Kind.EVICTED, hash));
    }

    /**
     * Queues a sequence, and starts stepping if the engine is idle.
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
     * Removes a sequence from the batch or the queue; nothing more is computed for it.
     *
     * @param sequence the sequence
     */
    public void cancel(final Sequence sequence) {
        mBatch.remove(sequence);
        mWaiting.removeIf(waiting -> waiting.sequence() == sequence);
    }

    /** Returns the numbers of running and waiting sequences at the current simulated time. */
    public LoadReport loadReport() {
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
        mSimulation.schedule(Duration.of(micros, ChronoUnit.MICROS), () -> endStep(decoding));
    }

    private void endStep(final List<Sequence> decoding) {
        final Instant now = mSimulation.now();
        decoding.retainAll(mBatch);
        for (final Sequence sequence : decoding) {
            if (sequence.generatedTokens() == 0) {
                mCache.store(sequence.spec().prefixHashes());
            }
            sequence.decode(now);
            mListener.tokenDecoded(mNumber, sequence);
            if (sequence.isFinished()) {
                mBatch.remove(sequence);
                mListener.sequenceFinished(mNumber, sequence);
            }
        }
        step();
    }

    private void fillBatch() {
        while (mBatch.size() < mSettings.slots() && !mWaiting.isEmpty()) {
            final Sequence sequence = mWaiting.remove().sequence();
            final int cached = mCache.lookup(sequence.spec().prefixHashes());
            final int cachedTokens = cached * mSettings.blockTokens();
            sequence.startPrefill(Math.max(1, sequence.spec().promptTokens() - cachedTokens));
            mBatch.add(sequence);
        }
    }

    private void publishCacheEvent(final CacheEvent.Kind kind, final long hash) {
        mListener.cacheChanged(new CacheEvent(mId, kind, hash));
    }

    /** A queued sequence; ordered by priority, highest first, then by arrival. */
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
