package org.whinhead.daemon.log;

import java.time.Duration;
import java.util.Objects;
import org.whinhead.state.claim.ClaimLimits;
import org.whinhead.state.lease.LeaseTiming;

/**
 * The time and size limits of the log service.
 *
 * @param readWait the longest time that a read waits for a record
 * @param changeTimeout the longest time that an operator's change waits for its decision
 * @param claimTimeout the longest time that a claim waits for its decision
 * @param claimWindow the time for which a key stays claimed; the same on every daemon, and with a
 *     sixth more still less than the log's retention
 * @param claims the limits of claims
 * @param leases the durations of leases
 * @param checkpointEvery the interval between checkpoints; a small share of the log's retention
 */
public record LogServiceSettings(
        Duration readWait,
        Duration changeTimeout,
        Duration claimTimeout,
        Duration claimWindow,
        ClaimLimits claims,
        LeaseTiming leases,
        Duration checkpointEvery) {

    private static final Duration CLAIM_WINDOW = Duration.ofMinutes(30);

    /** Limits the claims of 9 daemons to 225 appends a second, fewer than the log accepts. */
    private static final Duration CLAIM_BATCH_LINGER = Duration.ofMillis(40);

    /** The settings used in production. */
    public static final LogServiceSettings DEFAULT =
            new LogServiceSettings(
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(8),
                    Duration.ofMillis(1_500),
                    CLAIM_WINDOW,
                    new ClaimLimits(
                            CLAIM_WINDOW.dividedBy(2), CLAIM_BATCH_LINGER, 100, 4_096, 1_000_000),
                    new LeaseTiming(
                            Duration.ofSeconds(10),
                            Duration.ofSeconds(1),
                            Duration.ofSeconds(3),
                            Duration.ofMillis(500)),
                    Duration.ofMinutes(5));

    /** Checks every part. */
    public LogServiceSettings {
        Objects.requireNonNull(readWait, "readWait");
        Objects.requireNonNull(changeTimeout, "changeTimeout");
        Objects.requireNonNull(claimTimeout, "claimTimeout");
        Objects.requireNonNull(claimWindow, "claimWindow");
        Objects.requireNonNull(claims, "claims");
        Objects.requireNonNull(leases, "leases");
        Objects.requireNonNull(checkpointEvery, "checkpointEvery");
    }

    /**
     * Returns these settings with another interval between checkpoints.
     *
     * @param interval the interval between checkpoints
     * @return a copy
     */
    public LogServiceSettings withCheckpointInterval(final Duration interval) {
        return new LogServiceSettings(
                readWait, changeTimeout, claimTimeout, claimWindow, claims, leases, interval);
    }
}
