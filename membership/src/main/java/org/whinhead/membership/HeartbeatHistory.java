package org.whinhead.membership;

import java.time.Duration;
import java.time.Instant;

/** Tracks the arrival times of one peer's heartbeats and derives the peer's timeout from them. */
final class HeartbeatHistory {

    private static final double MEAN_GAIN = 0.125;
    private static final double DEVIATION_GAIN = 0.25;
    private static final int TIMEOUT_DEVIATIONS = 4;

    private final MembershipSettings mSettings;
    private Instant mLastSignOfLife;
    private Instant mLastMessage;
    private Instant mLastHeartbeat;
    private double mMeanMillis;
    private double mDeviationMillis;

    HeartbeatHistory(final MembershipSettings settings, final Instant now) {
        mSettings = settings;
        mLastSignOfLife = now;
        mMeanMillis = settings.heartbeatInterval().toMillis();
    }

    /** Records a message from the peer itself. */
    void recordMessage(final Instant now) {
        mLastSignOfLife = now;
        mLastMessage = now;
    }

    /** Records that another daemon confirmed that the peer is live. */
    void recordProbeReply(final Instant now) {
        mLastSignOfLife = now;
    }

    /**
     * Returns whether a message from the peer itself arrived within the peer's timeout.
     * Confirmations by other daemons end a silence but don't count here: otherwise two observers of
     * a dead peer could confirm it to each other forever, and it would stay live in every view.
     */
    boolean hasRecentMessage(final Instant now) {
        return mLastMessage != null && isWithinTimeout(mLastMessage, now);
    }

    /** Records a heartbeat and adapts the timeout to the gap before it. */
    void recordHeartbeat(final Instant now) {
        if (mLastHeartbeat != null) {
            // The gap is capped, because a partition says nothing about the peer's usual interval.
            final long maximum = mSettings.maximumTimeout().toMillis();
            final long gap = Math.min(maximum, Duration.between(mLastHeartbeat, now).toMillis());
            mDeviationMillis += DEVIATION_GAIN * (Math.abs(gap - mMeanMillis) - mDeviationMillis);
            mMeanMillis += MEAN_GAIN * (gap - mMeanMillis);
        }
        mLastHeartbeat = now;
        recordMessage(now);
    }

    /** Restarts the timeout after a pause of the own process, which is no silence of the peer. */
    void resetSilence(final Instant now) {
        mLastSignOfLife = now;
        mLastHeartbeat = null;
    }

    boolean isSilent(final Instant now) {
        return !isWithinTimeout(mLastSignOfLife, now);
    }

    private boolean isWithinTimeout(final Instant last, final Instant now) {
        return Duration.between(last, now).compareTo(timeout()) <= 0;
    }

    /**
     * Returns how long the peer may be silent: twice the mean gap between heartbeats plus four mean
     * deviations, within the configured bounds. The timeout follows the peer's own intervals, so
     * that a slow VM is not suspected.
     */
    Duration timeout() {
        final long expected = (long) (2 * mMeanMillis + TIMEOUT_DEVIATIONS * mDeviationMillis);
        final long minimum = mSettings.minimumTimeout().toMillis();
        final long maximum = mSettings.maximumTimeout().toMillis();
        return Duration.ofMillis(Math.max(minimum, Math.min(maximum, expected)));
    }
}
