package org.whinhead.daemon.log;

import java.time.Duration;
import java.util.Objects;
import org.whinhead.state.claim.ClaimLimits;
import org.whinhead.state.lease.LeaseTiming;

/**
 * The bounds of the log duty.
 *
 * @param readWait how long a read waits for a record
 * @param changeTimeout how long an operator's change may wait for its decision
 * @param claimTimeout how long a claim may wait for its decision
 * @param claimWindow how long a key is held; with a sixth more it is less than the log's retention,
 *     and it is the same on every daemon
 * @param claims the bounds of claims
 * @param leases the times of leases
 * @param checkpointEvery how often a checkpoint is written; a small share of the log's retention
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

    /**
     * With 9 daemons and this linger, claims take at most 225 appends a second, which is below what
     * the log takes.
     */
    private static final Duration CLAIM_BATCH_LINGER = Duration.ofMillis(40);

    /** The values of a process in use. */
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
     * Returns these terms with another interval of checkpoints.
     *
     * @param every how often a checkpoint is written
     * @return a copy
     */
    public LogServiceSettings withCheckpointInterval(final Duration every) {
        return new LogServiceSettings(
                readWait, changeTimeout, claimTimeout, claimWindow, claims, leases, every);
    }
}
