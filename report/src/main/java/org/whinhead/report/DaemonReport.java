package org.whinhead.report;

import java.net.URI;
import java.time.Instant;
import java.util.List;
import java.util.Objects;
import org.whinhead.api.model.DaemonId;

/**
 * The request counts of one daemon.
 *
 * @param daemon the daemon
 * @param address the address that the daemon advertises to callers
 * @param since when the daemon began to count
 * @param asOf when the report was created
 * @param objectives the objectives of the tiers, sorted by tier
 * @param series the counts by customer and tier
 * @param leftOut the number of requests that were not counted, because a bound was reached
 */
public record DaemonReport(
        DaemonId daemon,
        URI address,
        Instant since,
        Instant asOf,
        List<Objective> objectives,
        List<Series> series,
        long leftOut) {

    /** Checks the components and copies the lists. */
    public DaemonReport {
        Objects.requireNonNull(daemon, "daemon");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(since, "since");
        Objects.requireNonNull(asOf, "asOf");
        objectives = List.copyOf(objectives);
        series = List.copyOf(series);
    }

    /**
     * The counts of one customer in one tier.
     *
     * @param key the customer and tier
     * @param minutes the counts of minutes with at least one request, oldest first
     */
    public record Series(SeriesKey key, List<MinuteCounts> minutes) {

        /** Copies the list. */
        public Series {
            Objects.requireNonNull(key, "key");
            minutes = List.copyOf(minutes);
        }
    }
}
