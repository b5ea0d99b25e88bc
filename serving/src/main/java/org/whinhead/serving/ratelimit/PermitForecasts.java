package org.whinhead.serving.ratelimit;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/** What the owners of limits have told this daemon of when the next permits are to be had. */
final class PermitForecasts {

    /**
     * The longest time for which a forecast is trusted. The owner, or the share of the limit that
     * it uses, may have changed since.
     */
    static final Duration MAX_TRUST_TIME = Duration.ofSeconds(1);

    private static final Forecast ANY_TIME = new Forecast(Instant.EPOCH, Instant.EPOCH);

    private final Map<String, Forecast> mForecasts = new HashMap<>();

    private record Forecast(Instant at, Instant toldAt) {}

    /** Records when an endpoint's next permit is to be had. */
    void record(final String endpoint, final Instant at, final Instant now) {
        mForecasts.put(endpoint, new Forecast(at, now));
    }

    /** Forgets when an endpoint's next permit is to be had. */
    void remove(final String endpoint) {
        mForecasts.remove(endpoint);
    }

    /** Returns whether it is of use to ask for a permit that is to be had by a time. */
    boolean isDue(final String endpoint, final Instant time) {
        final Forecast forecast = forecast(endpoint);
        return !forecast.at().isAfter(time)
                || !forecast.toldAt().plus(MAX_TRUST_TIME).isAfter(time);
    }

    private Forecast forecast(final String endpoint) {
        return mForecasts.getOrDefault(endpoint, ANY_TIME);
    }

    /** Returns the time until the next permit is to be had; zero if it is now. */
    Duration timeLeft(final String endpoint, final Instant now) {
        final Instant at = forecast(endpoint).at();
        return at.isAfter(now) ? Duration.between(now, at) : Duration.ZERO;
    }

    /** Forgets what was told of endpoints that no longer exist. */
    void retain(final Collection<String> endpoints) {
        mForecasts.keySet().retainAll(endpoints);
    }
}
