package org.whinhead.standins.engine;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.whinhead.standins.witness.WorkCounter;

/** Simulates an engine without HTTP; not thread-safe, and callers pass the current time. */
public final class EngineSimulation {

    /**
     * A change of the prefix cache.
     *
     * @param sequence the event's number, from 1
     * @param at the time of the change
     * @param stored true if the block was stored, false if evicted
     * @param prefixHash the block's hash
     */
    public record CacheEvent(long sequence, Instant at, boolean stored, long prefixHash) {}

    /**
     * A snapshot of an engine's load.
     *
     * @param asOf the time of the snapshot
     * @param running the number of requests in the batch
     * @param waiting the number of queued requests
     * @param tokensPerSecond the rate of generated tokens, updated about once a second
     * @param cachedBlocks the number of blocks in the prefix cache
     */
    public record Load(
            Instant asOf, int running, int waiting, double tokensPerSecond, int cachedBlocks) {}

    private static final int KEPT_EVENTS = 10_000;
    private static final long SAMPLE_MILLIS = 50;
    private static final long RATE_MILLIS = 1000;

    private final EngineConfig mConfig;
    private final WorkCounter mWorkCounter;
    private final Map<String, EngineStream> mStreams = new LinkedHashMap<>();
    private final Deque<CacheEvent> mEvents = new ArrayDeque<>();
    private final Deque<Load> mLoads = new ArrayDeque<>();
    private final PrefixCache mCache;
    private final Batch mBatch;
    private long mEventSequence;
    private long mNextStream;
    private long mGenerated;
    private long mGeneratedAtRateUpdate;
    private Instant mRateUpdatedAt = Instant.MIN;
    private double mRate;
    private boolean mFrozen;
    private Instant mNow = Instant.MIN;

    /** Creates an idle engine. */
    public EngineSimulation(final EngineConfig config, final WorkCounter workCounter) {
        mConfig = config;
        mWorkCounter = workCounter;
        mCache = new PrefixCache(config.cacheBlocks(), this::recordCacheEvent);
        mBatch = new Batch(config, mCache, workCounter);
    }

    /**
     * Submits a request.
     *
     * @param generation the request
     * @param now the time
     * @return the request's stream, or empty if the queue is full and the request is refused
     */
    public Optional<EngineStream> submit(final Generation generation, final Instant now) {
        advance(now);
        if (!mBatch.hasRoom()) {
            return Optional.empty();
        }
        final EngineStream stream = new EngineStream(nextId(), generation, now);
        mStreams.put(stream.id(), stream);
        mWorkCounter.countAttempt(generation.requestId());
        if (stream.isComplete()) {
            stream.end(EngineStream.State.FINISHED);
        } else {
            mBatch.add(stream, now);
        }
        return Optional.of(stream);
    }

    /** Advances the time and runs all due work, except while frozen. */
    public void advance(final Instant now) {
        mNow = now;
        if (mFrozen) {
            return;
        }
        mGenerated += mBatch.advance(now);
        dropAbandoned(now);
        sampleLoad(now);
    }

    /**
     * Returns a stream.
     *
     * @param id the stream's id
     * @return the stream, if the engine holds it
     */
    public Optional<EngineStream> find(final String id) {
        return Optional.ofNullable(mStreams.get(id));
    }

    /** Stops a stream; ignores an unknown id. */
    public void cancel(final String id) {
        find(id).ifPresent(this::stop);
    }

    /**
     * Stops a stream and returns its KV cache.
     *
     * @param id the stream's id
     * @return the cache, or empty if the stream is unknown
     */
    public Optional<KvCache> export(final String id) {
        final Optional<EngineStream> stream = find(id);
        stream.ifPresent(this::stop);
        return stream.map(EngineStream::kvCache);
    }

    /**
     * Imports a KV cache; its stream continues at once.
     *
     * @param cache the KV cache exported by another engine
     * @param now the time
     * @return the stream in this engine
     */
    public EngineStream importCache(final KvCache cache, final Instant now) {
        advance(now);
        final EngineStream stream = new EngineStream(nextId(), cache, now);
        mStreams.put(stream.id(), stream);
        if (stream.isComplete()) {
            stream.end(EngineStream.State.FINISHED);
        } else {
            mBatch.addRunning(stream, now);
        }
        return stream;
    }

    /**
     * Returns the load report, which is older than the time by the configured lag.
     *
     * @param now the time
     * @return the load report
     */
    public Load load(final Instant now) {
        final Instant asOf = now.minus(mConfig.loadLag());
        Load latest = new Load(asOf, 0, 0, 0, 0);
        for (final Load sample : mLoads) {
            if (!sample.asOf().isAfter(asOf)) {
                latest = sample;
            }
        }
        return latest;
    }

    /**
     * Returns cache events, with the configured delay and gaps.
     *
     * @param after the last sequence number received
     * @param max the maximum number of events
     * @param now the time
     * @return the events, in order
     */
    public List<CacheEvent> cacheEvents(final long after, final int max, final Instant now) {
        final Instant limit = now.minus(mConfig.cacheEventLag());
        final List<CacheEvent> found = new ArrayList<>();
        for (final CacheEvent event : mEvents) {
            final boolean isVisible = !event.at().isAfter(limit);
            if (isVisible && event.sequence() > after && found.size() < max) {
                found.add(event);
            }
        }
        return found;
    }

    /** Freezes the engine, or continues it from the state at the freeze. */
    public void freeze(final boolean frozen, final Instant now) {
        advance(now);
        mFrozen = frozen;
        mBatch.skipElapsedTime(now);
    }

    /** Sets the factor by which every step takes longer. */
    public void slow(final double factor) {
        mBatch.setSlowdown(factor);
    }

    /** Discards all streams and the cache, as the end of the process does. */
    public void kill() {
        mStreams.values().forEach(stream -> stream.end(EngineStream.State.STOPPED));
        mStreams.clear();
        mBatch.clear();
        mCache.clear();
        mEvents.clear();
        mLoads.clear();
    }

    private void stop(final EngineStream stream) {
        stream.end(EngineStream.State.STOPPED);
        mBatch.remove(stream);
        mStreams.remove(stream.id());
    }

    private void dropAbandoned(final Instant now) {
        final Instant limit = now.minus(mConfig.readerGrace());
        for (final EngineStream stream : List.copyOf(mStreams.values())) {
            if (stream.isAbandonedBefore(limit)) {
                stop(stream);
            }
        }
    }

    private void sampleLoad(final Instant now) {
        if (mRateUpdatedAt == Instant.MIN) {
            mRateUpdatedAt = now;
        }
        final long elapsed = now.toEpochMilli() - mRateUpdatedAt.toEpochMilli();
        if (elapsed >= RATE_MILLIS) {
            mRate = (mGenerated - mGeneratedAtRateUpdate) * (double) RATE_MILLIS / elapsed;
            mGeneratedAtRateUpdate = mGenerated;
            mRateUpdatedAt = now;
        }
        final boolean due =
                mLoads.isEmpty() || !mLoads.getLast().asOf().plusMillis(SAMPLE_MILLIS).isAfter(now);
        if (due) {
            mLoads.add(new Load(now, mBatch.running(), mBatch.waiting(), mRate, mCache.size()));
            final Instant limit = now.minus(mConfig.loadLag()).minusMillis(RATE_MILLIS);
            while (mLoads.getFirst().asOf().isBefore(limit)) {
                mLoads.removeFirst();
            }
        }
    }

    private void recordCacheEvent(final boolean stored, final long prefixHash) {
        mEventSequence++;
        final int gap = mConfig.cacheEventGap();
        if (gap > 0 && mEventSequence % gap == 0) {
            return;
        }
        mEvents.add(new CacheEvent(mEventSequence, mNow, stored, prefixHash));
        if (mEvents.size() > KEPT_EVENTS) {
            mEvents.removeFirst();
        }
    }

    private String nextId() {
        mNextStream++;
        return mConfig.name() + "-" + mNextStream;
    }
}
