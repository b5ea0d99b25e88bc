package org.whinhead.serving.quota;

import java.time.Duration;
import java.time.Instant;

/**
 * Upper bound of the level of a share that another daemon may hold. Other daemons use the share
 * too, so its level may be lower: a share whose bound is too low certainly has too few tokens.
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

    /** Returns the time until the share may have reached a level. */
    Duration timeUntil(final double level, final ShareLimits limits, final Instant now) {
        final double missing = Math.max(level - upperBound(limits, now), 0);
        return Duration.ofMillis((long) Math.ceil(missing * 1_000 / limits.tokensPerSecond()));
    }
}
