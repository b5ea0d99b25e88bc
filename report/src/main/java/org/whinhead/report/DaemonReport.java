package org.whinhead.report;

import java.net.URI;
import java.time.Instant;
import java.util.List;
import java.util.Objects;
import org.whinhead.api.model.DaemonId;

/**
 * What one daemon counted.
 *
 * @param daemon the daemon
 * @param address the address that callers are told
 * @param since when it began to count
 * @param asOf when the report was made
 * @param objectives what its tiers promise, sorted by tier
 * @param series the counts by customer and tier
 * @param leftOut requests that were not counted for lack of room
 */
public record DaemonReport(
        DaemonId daemon,
        URI address,
        Instant since,
        Instant asOf,
        List<Objective> objectives,
        List<Series> series,
        long leftOut) {

    /** Checks every part and copies the lists. */
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
     * @param key whose
     * @param minutes the minutes that had a request, oldest first
     */
    public record Series(SeriesKey key, List<MinuteCounts> minutes) {

        /** Copies the list. */
        public Series {
            Objects.requireNonNull(key, "key");
            minutes = List.copyOf(minutes);
        }
    }
}
