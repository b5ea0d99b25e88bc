package org.whinhead.serving.stream;

import java.time.Duration;
import java.time.Instant;
import org.whinhead.serving.limit.SlidingWindowSum;

/**
 * Limits the messages about streams that begin: few streams are told to many daemons, so that they
 * are found after most of these were lost, and many streams to few.
 */
public final class CopyBudget {

    /** A quarter of a daemon's bytes for control at the largest size, in messages of 100 bytes. */
    private static final double MESSAGES_PER_SECOND = 60;

    /** The fewest daemons that are told of a stream; each is lost with its process. */
    private static final int MIN_COPIES = 3;

    /** The most daemons that are told. */
    private static final int MAX_COPIES = 6;

    private static final Duration WINDOW = Duration.ofSeconds(4);

    private final SlidingWindowSum mStreams = new SlidingWindowSum(WINDOW);

    /**
     * Counts a stream that begins at this daemon.
     *
     * @param now the current time
     * @return the number of daemons to tell of it
     */
    public int countStream(final Instant now) {
        mStreams.add(now, 1);
        final double rate = mStreams.total(now) / WINDOW.toSeconds();
        final int copies = (int) (MESSAGES_PER_SECOND / rate);
        return Math.max(MIN_COPIES, Math.min(copies, MAX_COPIES));
    }
}
