package org.whinhead.gateway.peers;

import java.time.Duration;
import java.time.Instant;

/**
 * Decides when a daemon lists all endpoints, as its view has differed from that of a reader for so
 * long that reading the records after its position does not resolve the difference.
 *
 * <p>The store drops entries without a record around an outage. A daemon that has read no listing
 * since, as others read for it, would keep such an entry for good.
 */
final class ListingSchedule {

    /**
     * The time within which the store lists an endpoint again that is alive. An entry that a reader
     * has missed for so long is gone.
     */
    private static final Duration MAX_DIFFERENCE = Duration.ofSeconds(2);

    /** The first pause after a listing that has not resolved the difference; doubled each time. */
    private static final Duration MIN_PAUSE = Duration.ofSeconds(10);

    /** Bounds the calls of all daemons for a difference that no listing resolves. */
    private static final Duration MAX_PAUSE = Duration.ofMinutes(10);

    private Instant mNextAt = Instant.MIN;
    private Duration mPause = MIN_PAUSE;

    /**
     * Returns whether a listing is due, and schedules the next one if so.
     *
     * @param differentSince the time of the last digest of the reader that showed the same view
     * @param now the current time
     */
    boolean isDue(final Instant differentSince, final Instant now) {
        final boolean isLong = !now.isBefore(differentSince.plus(MAX_DIFFERENCE));
        if (!isLong || now.isBefore(mNextAt)) {
            return false;
        }
        mNextAt = now.plus(mPause);
        mPause = mPause.compareTo(MAX_PAUSE) < 0 ? mPause.multipliedBy(2) : MAX_PAUSE;
        return true;
    }

    /** Records that a reader has the same view. */
    void recordSame() {
        mPause = MIN_PAUSE;
    }
}
