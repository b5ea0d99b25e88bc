package org.whinhead.serving.stream;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.quota.ClockReading;

/**
 * The software versions that each service was listed with over time. If it was a single one since a
 * stream can have begun, the stream may continue although nobody knows where it began.
 */
public final class ServedVersions {

    /**
     * The longest time since the list was last confirmed: three reads of those that read it. The
     * time for which this VM was suspended counts as well, which its steady clock doesn't show.
     */
    static final Duration MAX_UNCONFIRMED = Duration.ofMillis(1_500);

    private final Map<String, Map<String, Instant>> mListedAt = new HashMap<>();
    private Optional<Instant> mKnownSince = Optional.empty();
    private Optional<ClockReading> mConfirmedAt = Optional.empty();

    /**
     * Observes the listed endpoints; to be called at each change and several times a second.
     *
     * @param endpoints the endpoints of all services, also leaving ones
     * @param now the current time
     */
    public void observe(final Collection<EndpointEntry> endpoints, final Instant now) {
        for (final EndpointEntry endpoint : endpoints) {
            mListedAt
                    .computeIfAbsent(endpoint.service(), service -> new HashMap<>())
                    .put(endpoint.version(), now);
        }
    }

    /**
     * Records that the list of endpoints is the store's current one.
     *
     * @param now the current time
     */
    public void recordConfirmed(final ClockReading now) {
        if (!isConfirmed(now)) {
            // What was listed in between is not known.
            mKnownSince = Optional.of(now.steady());
        }
        mConfirmedAt = Optional.of(now);
    }

    private boolean isConfirmed(final ClockReading now) {
        return mConfirmedAt
                .filter(at -> now.elapsedSince(at).compareTo(MAX_UNCONFIRMED) <= 0)
                .isPresent();
    }

    /** Records that versions may have been listed that this daemon has not observed. */
    public void recordGap() {
        mKnownSince = Optional.empty();
        mConfirmedAt = Optional.empty();
    }

    /**
     * Returns the version of a service, if there was a single one.
     *
     * @param service the service
     * @param span the time to look back
     * @param now the current time
     * @return the version; empty if there were several or none, or if that is not known
     */
    public Optional<String> onlyVersion(
            final String service, final Duration span, final ClockReading now) {
        final Instant from = now.steady().minus(span);
        final boolean known =
                mKnownSince.filter(since -> !since.isAfter(from)).isPresent() && isConfirmed(now);
        if (!known) {
            return Optional.empty();
        }
        final List<String> versions =
                mListedAt.getOrDefault(service, Map.of()).entrySet().stream()
                        .filter(version -> !version.getValue().isBefore(from))
                        .map(Map.Entry::getKey)
                        .toList();
        return versions.size() == 1 ? Optional.of(versions.get(0)) : Optional.empty();
    }
}
