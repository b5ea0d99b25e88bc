package org.whinhead.serving.quota;

import java.time.Duration;
import java.time.Instant;

/**
 * What a daemon believes of a share that another one may hold. Others use the share too, so the
 * level is at most what is believed: a share that is believed to be too low surely is.
 */
final class ShareEstimate {

    private double mLevel = Double.POSITIVE_INFINITY;
    private Instant mLevelAt = Instant.EPOCH;

    void setLevel(final double level, final Instant at) {
        mLevel = level;
        mLevelAt = at;
    }

    double upperBound(final ShareLimits limits, final Instant now) {
        final double refilled = mLevel + limits.inflow(Duration.between(mLevelAt, now));
        return Math.min(refilled, limits.capacityTokens());
    }

    /** The time until the share may hold so much. */
    Duration timeUntil(final double level, final ShareLimits limits, final Instant now) {
        final double missing = Math.max(level - upperBound(limits, now), 0);
        return Duration.ofMillis((long) Math.ceil(missing * 1_000 / limits.tokensPerSecond()));
    }
}
