package org.whinhead.gateway.store;

import java.time.Duration;
import java.time.Instant;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.serving.configuration.ConfigurationProgress;

/** Logs when this daemon's configuration falls behind that of another daemon, and its end. */
public final class ConfigurationLagLogger {

    private static final Logger LOG = LoggerFactory.getLogger(ConfigurationLagLogger.class);

    /** Time to read a version that another daemon has just read; a shorter lag is usual. */
    private static final Duration USUAL_LAG = Duration.ofMillis(500);

    private final ConfigurationProgress mProgress;
    private Duration mLoggedLag = Duration.ZERO;

    /**
     * Creates a logger that has logged nothing.
     *
     * @param progress the versions in force here and elsewhere
     */
    public ConfigurationLagLogger(final ConfigurationProgress progress) {
        mProgress = progress;
    }

    /**
     * Logs a lag that began or ended; must be called several times a second.
     *
     * @param now the current time
     */
    public void tick(final Instant now) {
        final Duration lag = mProgress.behindFor(now);
        if (mLoggedLag.isZero() && lag.compareTo(USUAL_LAG) > 0) {
            LOG.atWarn()
                    .addKeyValue("version", mProgress.version())
                    .addKeyValue("newestVersion", mProgress.newestVersion())
                    .addKeyValue("behindMillis", lag.toMillis())
                    .addKeyValue("lastReadMillisAgo", sinceReadMillis(now))
                    .addKeyValue("readFailure", mProgress.readFailure().orElse("none"))
                    .log("configuration is behind");
        } else if (!mLoggedLag.isZero() && lag.isZero()) {
            LOG.atInfo()
                    .addKeyValue("version", mProgress.version())
                    .addKeyValue("behindMillis", mLoggedLag.toMillis())
                    .log("configuration has caught up");
        }
        mLoggedLag = lag.compareTo(USUAL_LAG) > 0 ? lag : Duration.ZERO;
    }

    /**
     * Returns whether the last line said that this daemon is behind.
     *
     * @return whether a lag was logged whose end was not
     */
    boolean isLagLogged() {
        return !mLoggedLag.isZero();
    }

    private long sinceReadMillis(final Instant now) {
        return mProgress.sinceRead(now).map(Duration::toMillis).orElse(-1L);
    }
}
