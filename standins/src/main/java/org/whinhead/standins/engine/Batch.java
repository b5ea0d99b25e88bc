package org.whinhead.standins.engine;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.whinhead.standins.witness.WorkCounter;

/** Continuous batching: runs the admitted streams step by step and queues the others. */
final class Batch {

    private static final Comparator<EngineStream> BY_PRIORITY =
            Comparator.comparingInt((EngineStream stream) -> -stream.generation().priority());

    private final EngineConfig mConfig;
    private final PrefixCache mCache;
    private final WorkCounter mWorkCounter;
    private final List<EngineStream> mRunning = new ArrayList<>();
    private final List<EngineStream> mWaiting = new ArrayList<>();
    private double mSlowdown = 1;
    private Instant mStepEnd = Instant.MAX;

    Batch(final EngineConfig config, final PrefixCache cache, final WorkCounter workCounter) {
        mConfig = config;
        mCache = cache;
        mWorkCounter = workCounter;
    }

    int running() {
        return mRunning.size();
    }

    int waiting() {
        return mWaiting.size();
    }

    void setSlowdown(final double factor) {
        mSlowdown = factor;
    }

    boolean hasRoom() {
        return mRunning.size() < mConfig.slots() || mWaiting.size() < mConfig.maxWaiting();
    }

    void add(final EngineStream stream, final Instant now) {
        mWaiting.add(stream);
        mWaiting.sort(BY_PRIORITY);
        startStepIfIdle(now);
    }

    /** Adds a stream with an imported KV cache; it runs at once, even beyond the slots. */
    void addRunning(final EngineStream stream, final Instant now) {
        stream.resume();
        mRunning.add(stream);
        startStepIfIdle(now);
    }

    void remove(final EngineStream stream) {
        mRunning.remove(stream);
        mWaiting.remove(stream);
    }

    void clear() {
        mRunning.clear();
        mWaiting.clear();
        mStepEnd = Instant.MAX;
    }

    /** Skips the time during which the engine was frozen, so that it doesn't catch up. */
    void skipElapsedTime(final Instant now) {
        if (mStepEnd != Instant.MAX) {
            mStepEnd = now;
        }
    }

    /** Runs all due steps and returns the number of generated tokens. */
    int advance(final Instant now) {
        int generated = 0;
        while (!mStepEnd.isAfter(now)) {
            generated += step();
        }
        return generated;
    }

    private void startStepIfIdle(final Instant now) {
        if (mStepEnd == Instant.MAX) {
            admitWaiting();
            mStepEnd = now.plus(stepTime(plannedPrefill()));
        }
    }

    private int step() {
        int budget = mConfig.speed().prefillChunk();
        int generated = 0;
        for (final EngineStream stream : List.copyOf(mRunning)) {
            if (stream.prefillLeft() > 0) {
                budget -= prefill(stream, budget);
            } else {
                generate(stream);
                generated++;
            }
        }
        admitWaiting();
        mStepEnd = mRunning.isEmpty() ? Instant.MAX : mStepEnd.plus(stepTime(plannedPrefill()));
        return generated;
    }

    private int prefill(final EngineStream stream, final int budget) {
        final int tokens = Math.min(budget, stream.prefillLeft());
        final int from = stream.prefilled();
        stream.prefill(tokens);
        mWorkCounter.countPrefill(stream.generation().requestId(), from, from + tokens);
        if (stream.prefillLeft() == 0) {
            mCache.store(stream.blockHashes());
        }
        return tokens;
    }

    private void generate(final EngineStream stream) {
        mWorkCounter.countGeneratedToken(
                stream.generation().requestId(), stream.promptTokens() + stream.generated());
        stream.generate();
        if (stream.isComplete()) {
            stream.end(EngineStream.State.FINISHED);
            mCache.store(stream.finalBlockHashes());
            mRunning.remove(stream);
        }
    }

    private void admitWaiting() {
        while (mRunning.size() < mConfig.slots() && !mWaiting.isEmpty()) {
            final EngineStream stream = mWaiting.remove(0);
            final int cached = mCache.lookUp(stream.blockHashes());
            stream.admit(cached);
            mWorkCounter.countCachedTokens(stream.generation().requestId(), cached);
            mRunning.add(stream);
        }
        mRunning.sort(BY_PRIORITY);
    }

    private int plannedPrefill() {
        final int wanted = mRunning.stream().mapToInt(EngineStream::prefillLeft).sum();
        return Math.min(wanted, mConfig.speed().prefillChunk());
    }

    private Duration stepTime(final int prefillTokens) {
        final Duration step = mConfig.speed().step(mRunning.size(), prefillTokens);
        return Duration.ofNanos((long) (step.toNanos() * mSlowdown));
    }
}
