package org.whinhead.standins.weights;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.whinhead.api.Arguments;

/** A weight store without its HTTP side; single-threaded, and the time is passed in. */
public final class WeightStoreSimulation {

    private static final double NANOS_PER_SECOND = 1e9;

    private final long mBytes;
    private final long mBytesPerSecond;
    private final int mMaxWaiting;
    private final Deque<Instant> mLoads = new ArrayDeque<>();

    /**
     * Makes an idle store.
     *
     * @param bytes the size of a model
     * @param bytesPerSecond the rate for all loads together
     * @param maxWaiting the most loads at once; more are refused
     */
    public WeightStoreSimulation(
            final long bytes, final long bytesPerSecond, final int maxWaiting) {
        mBytes = Arguments.requireAtLeast(bytes, 1, "bytes");
        mBytesPerSecond = Arguments.requireAtLeast(bytesPerSecond, 1, "bytesPerSecond");
        mMaxWaiting = maxWaiting;
    }

    /**
     * Begins a load after those before it.
     *
     * @param now the time
     * @return when it is done, or empty if too many wait
     */
    public Optional<Instant> load(final Instant now) {
        while (!mLoads.isEmpty() && !mLoads.getFirst().isAfter(now)) {
            mLoads.removeFirst();
        }
        if (mLoads.size() >= mMaxWaiting) {
            return Optional.empty();
        }
        final Instant start = mLoads.isEmpty() ? now : mLoads.getLast();
        final double seconds = (double) mBytes / mBytesPerSecond;
        mLoads.add(start.plus(Duration.ofNanos((long) (seconds * NANOS_PER_SECOND))));
        return Optional.of(mLoads.getLast());
    }

    /** Returns the size of a model. */
    public long bytes() {
        return mBytes;
    }
}
