package org.whinhead.gateway;

import java.time.Duration;
import java.time.Instant;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/** Logs when a daemon gets ready, how long it waited for each condition, and what it waits for. */
final class ReadinessLogger {

    private static final Logger LOG = LoggerFactory.getLogger(ReadinessLogger.class);

    /** The interval at which a daemon that isn't ready logs what it waits for. */
    private static final Duration WAIT_LOG_INTERVAL = Duration.ofSeconds(5);

    private final Map<ReadinessCondition, Duration> mMetAfter =
            new EnumMap<>(ReadinessCondition.class);
    private Instant mStartedAt;
    private Instant mLoggedAt;
    private boolean mReady;

    /**
     * Begins to measure.
     *
     * @param now the current time
     */
    void start(final Instant now) {
        mStartedAt = now;
        mLoggedAt = now;
    }

    /**
     * Logs a change of readiness, and at intervals what is missing.
     *
     * @param missing the conditions that aren't met
     * @param now the current time
     */
    void tick(final Set<ReadinessCondition> missing, final Instant now) {
        missing.forEach(mMetAfter::remove);
        for (final ReadinessCondition met : EnumSet.complementOf(copy(missing))) {
            mMetAfter.putIfAbsent(met, Duration.between(mStartedAt, now));
        }
        if (missing.isEmpty() != mReady) {
            mReady = missing.isEmpty();
            mLoggedAt = now;
            logChange(missing, now);
        } else if (!mReady && Duration.between(mLoggedAt, now).compareTo(WAIT_LOG_INTERVAL) >= 0) {
            mLoggedAt = now;
            LOG.atWarn()
                    .addKeyValue("missing", names(missing))
                    .addKeyValue("millisSinceStart", millisSinceStart(now))
                    .log("not ready yet");
        }
    }

    private void logChange(final Set<ReadinessCondition> missing, final Instant now) {
        if (mReady) {
            final LoggingEventBuilder line =
                    LOG.atInfo().addKeyValue("millisSinceStart", millisSinceStart(now));
            mMetAfter.forEach(
                    (condition, after) ->
                            line.addKeyValue(condition.logName() + "Millis", after.toMillis()));
            line.log("ready");
        } else {
            LOG.atWarn().addKeyValue("missing", names(missing)).log("no longer ready");
        }
    }

    /**
     * Returns the time from the start until a condition was met, for the last time if it was lost.
     *
     * @param condition the condition
     * @return the time; empty if it isn't met
     */
    Optional<Duration> metAfter(final ReadinessCondition condition) {
        return Optional.ofNullable(mMetAfter.get(condition));
    }

    /** Returns whether the last line said that the daemon is ready. */
    boolean isReadyLogged() {
        return mReady;
    }

    private long millisSinceStart(final Instant now) {
        return Duration.between(mStartedAt, now).toMillis();
    }

    private static String names(final Set<ReadinessCondition> conditions) {
        return String.join(
                ",", conditions.stream().map(ReadinessCondition::logName).sorted().toList());
    }

    private static EnumSet<ReadinessCondition> copy(final Set<ReadinessCondition> conditions) {
        final EnumSet<ReadinessCondition> copy = EnumSet.noneOf(ReadinessCondition.class);
        copy.addAll(conditions);
        return copy;
    }
}
