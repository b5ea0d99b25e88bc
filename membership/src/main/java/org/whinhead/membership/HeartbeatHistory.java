package org.whinhead.membership;

import java.time.Duration;
import java.time.Instant;

/** When heartbeats of one peer arrive, and how long a silence is usual for it. */
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

    /** A sign of life from the peer itself. */
    void recordMessage(final Instant now) {
        mLastSignOfLife = now;
        mLastMessage = now;
    }

    /** Another daemon has heard the peer. */
    void recordProbeReply(final Instant now) {
        mLastSignOfLife = now;
    }

    /**
     * Tells whether the peer itself was heard within its timeout. Guards against two observers of a
     * dead peer that vouch for it by each other's word for ever: it would stay live in every view.
     * What another daemon has heard counts here, but is not passed on.
     */
    boolean hasRecentMessage(final Instant now) {
        return mLastMessage != null && isWithinTimeout(mLastMessage, now);
    }

    /** A heartbeat arrived; the gap before it widens or narrows the timeout. */
    void recordHeartbeat(final Instant now) {
        if (mLastHeartbeat != null) {
            // A gap as long as a partition says nothing of the peer's pace.
            final long longest = mSettings.maximumTimeout().toMillis();
            final long gap = Math.min(longest, Duration.between(mLastHeartbeat, now).toMillis());
            mDeviationMillis += DEVIATION_GAIN * (Math.abs(gap - mMeanMillis) - mDeviationMillis);
            mMeanMillis += MEAN_GAIN * (gap - mMeanMillis);
        }
        mLastHeartbeat = now;
        recordMessage(now);
    }

    /** The own daemon was paused: silence during the pause is not the peer's. */
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
     * Guards against a slow VM taken for a dead one: its own pace sets how long it may be silent.
     */
    Duration timeout() {
        final long expected = (long) (2 * mMeanMillis + TIMEOUT_DEVIATIONS * mDeviationMillis);
        final long least = mSettings.minimumTimeout().toMillis();
        final long most = mSettings.maximumTimeout().toMillis();
        return Duration.ofMillis(Math.max(least, Math.min(most, expected)));
    }
}
