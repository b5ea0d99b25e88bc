package org.whinhead.gateway.http;

import io.netty.util.concurrent.EventExecutor;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;

/**
 * Lets the decoders of many connections continue in turn, with a bound on what they decode together
 * before the event loop serves others.
 */
public final class DecodeQueue {

    /** The messages, among them chunks, that are decoded together in a turn of the event loop. */
    static final int MAX_MESSAGES_PER_TURN = 1_024;

    /** Lets the event loop read other connections; a task without a delay runs before that. */
    static final Duration TURN_DELAY = Duration.ofMillis(1);

    private final Deque<IntSupplier> mWaiting = new ArrayDeque<>();
    private boolean mScheduled;

    /**
     * Adds a decoder that is behind.
     *
     * @param executor the event loop
     * @param decoding decodes some messages and returns how many
     */
    void add(final EventExecutor executor, final IntSupplier decoding) {
        mWaiting.add(decoding);
        if (!mScheduled) {
            mScheduled = true;
            schedule(executor);
        }
    }

    private void schedule(final EventExecutor executor) {
        executor.schedule(() -> takeTurn(executor), TURN_DELAY.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void takeTurn(final EventExecutor executor) {
        int left = MAX_MESSAGES_PER_TURN;
        try {
            while (left > 0 && !mWaiting.isEmpty()) {
                left -= Math.max(mWaiting.poll().getAsInt(), 1);
            }
        } finally {
            mScheduled = !mWaiting.isEmpty();
            if (mScheduled) {
                schedule(executor);
            }
        }
    }
}
