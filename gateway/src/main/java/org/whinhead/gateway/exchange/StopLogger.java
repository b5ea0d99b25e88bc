package org.whinhead.gateway.exchange;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Objects;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;
import org.whinhead.gateway.caller.CallerRequest;
import org.whinhead.gateway.metrics.RequestMetrics;
import org.whinhead.serving.balance.Placement;
import org.whinhead.serving.route.Route;
import org.whinhead.serving.stop.StopSchedule;

/**
 * Logs the requests that are read during a graceful stop, and those without an answer at its end.
 */
final class StopLogger {

    private static final Logger LOG = LoggerFactory.getLogger(StopLogger.class);

    private final InstantSource mClock;
    private final RequestMetrics mCounts;
    private Optional<StopSchedule> mSchedule = Optional.empty();

    StopLogger(final InstantSource clock, final RequestMetrics counts) {
        mClock = Objects.requireNonNull(clock, "clock");
        mCounts = Objects.requireNonNull(counts, "counts");
    }

    /** Records that a stop has begun. */
    void begin(final StopSchedule schedule) {
        mSchedule = Optional.of(schedule);
    }

    /** Logs a request that was read during the stop. */
    void requestRead(final CallerRequest request, final Route route) {
        mSchedule.ifPresent(
                schedule -> {
                    mCounts.recordReadWhileStopping(route.kind());
                    LOG.atInfo()
                            .addKeyValue("request", request.id())
                            .addKeyValue("route", route.name())
                            .addKeyValue("stoppingMillis", millisSince(schedule.signalledAt()))
                            .log("request read while stopping");
                });
    }

    /**
     * Logs a request that has no answer as the last answers are due.
     *
     * @param admission the request
     * @param placement its endpoint; null before one was chosen
     * @param sentAt the time of its last attempt; null before the first one
     * @param forwardedBytes the bytes of its response's body that were written to the caller
     */
    void unanswered(
            final AdmittedRequest admission,
            final Placement placement,
            final Instant sentAt,
            final long forwardedBytes) {
        mCounts.recordUnansweredAtExit(admission.route().kind());
        final LoggingEventBuilder line =
                LOG.atWarn()
                        .addKeyValue("request", admission.request().id())
                        .addKeyValue("route", admission.route().name())
                        .addKeyValue("endpoint", placement == null ? "" : placement.endpoint().id())
                        .addKeyValue("readMillisAgo", millisSince(admission.arrivedAt()))
                        .addKeyValue("forwardedBytes", forwardedBytes)
                        .addKeyValue(
                                "limitLeftMillis",
                                Duration.between(mClock.instant(), admission.deadline())
                                        .toMillis());
        if (sentAt != null) {
            line.addKeyValue("sentMillisAgo", millisSince(sentAt));
        }
        mSchedule.ifPresent(
                schedule ->
                        line.addKeyValue("stoppingMillis", millisSince(schedule.signalledAt())));
        line.log("request without answer at the end of the grace");
    }

    private long millisSince(final Instant time) {
        return Duration.between(time, mClock.instant()).toMillis();
    }
}
