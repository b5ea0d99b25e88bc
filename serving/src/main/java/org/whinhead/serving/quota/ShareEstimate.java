package org.whinhead.serving.quota;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * Upper bound of the level of a share that another daemon may hold. Other daemons use the share
 * too, so its level may be lower: a share whose bound is too low certainly has too few tokens.
 */
final class ShareEstimate {

    /** The time for which a holder tells how fast its share's level may rise. */
    static final Duration FORECAST_TIME = Duration.ofSeconds(1);

    private static final double MILLIS_PER_SECOND = 1_000;

    private double mLevel;
    private double mGainPerSecond;
    private Optional<Instant> mLevelAt = Optional.empty();

    void setLevel(final double level, final double gainPerSecond, final Instant at) {
        mLevel = level;
        mGainPerSecond = gainPerSecond;
        mLevelAt = Optional.of(at);
    }

    /** Returns what the holder has last reported; empty if nothing. */
    Optional<KnownLevel> known(final int slot, final Instant now) {
        return mLevelAt.map(
                at -> new KnownLevel(slot, Math.round(mLevel), Duration.between(at, now)));
    }

    double upperBound(final ShareLimits limits, final Instant now) {
        if (mLevelAt.isEmpty()) {
            return limits.capacityTokens();
        }
        final Duration age = Duration.between(mLevelAt.get(), now);
        if (age.compareTo(FORECAST_TIME) > 0) {
            return limits.capacityTokens();
        }
        final double risen = mGainPerSecond * Math.max(age.toMillis(), 0) / MILLIS_PER_SECOND;
        return Math.min(mLevel + risen, limits.capacityTokens());
    }

    /** Returns the time until the share may have reached a level. */
    Duration timeUntil(final double level, final ShareLimits limits, final Instant now) {
        final double missing = Math.max(level - upperBound(limits, now), 0);
        return missing == 0
                ? Duration.ZERO
                : Duration.ofMillis(
                        (long)
                                Math.ceil(
                                        missing * MILLIS_PER_SECOND / Math.max(mGainPerSecond, 1)));
    }
}
