package org.whinhead.state.lease;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.whinhead.api.model.DaemonId;
import org.whinhead.state.record.LogRecord;

/**
 * Decides lease records in log order.
 *
 * <p>It knows no time: a claim wins if it names the newest record of the lease that it replaces.
 * Whether that lease is over is for the claimant to judge; of two claimants one wins, and a renewal
 * that came first in the log defeats them both.
 */
public final class LeaseTable {

    private final Map<String, LeaseState> mLeases = new TreeMap<>();

    /** Returns a copy of all leases by duty. */
    public Map<String, LeaseState> snapshot() {
        return Map.copyOf(mLeases);
    }

    /**
     * Replaces the table's content.
     *
     * @param leases the leases to go on from
     */
    public void restore(final Map<String, LeaseState> leases) {
        mLeases.clear();
        mLeases.putAll(leases);
    }

    /**
     * Decides a claim.
     *
     * @param record the claim
     * @param offset its offset, the fencing number if it wins
     */
    public void apply(final LogRecord.LeaseTaken record, final long offset) {
        final LeaseState current = mLeases.get(record.duty());
        final long newest = current == null ? LogRecord.NONE : current.newest();
        if (record.seenOffset() == newest) {
            mLeases.put(
                    record.duty(),
                    new LeaseState(
                            record.duty(),
                            record.holder(),
                            record.duration(),
                            offset,
                            offset,
                            false));
        }
    }

    /**
     * Prolongs a lease, unless it was taken over or given up before.
     *
     * @param record the renewal
     * @param offset its offset
     */
    public void apply(final LogRecord.LeaseRenewed record, final long offset) {
        findHeldLease(record.duty(), record.holder(), record.seenOffset())
                .ifPresent(
                        lease ->
                                mLeases.put(
                                        lease.duty(),
                                        new LeaseState(
                                                lease.duty(),
                                                lease.holder(),
                                                record.duration(),
                                                lease.fencing(),
                                                offset,
                                                false)));
    }

    /**
     * Ends a lease, unless it was taken over before.
     *
     * @param record the release
     * @param offset its offset
     */
    public void apply(final LogRecord.LeaseReleased record, final long offset) {
        findHeldLease(record.duty(), record.holder(), record.seenOffset())
                .ifPresent(
                        lease ->
                                mLeases.put(
                                        lease.duty(),
                                        new LeaseState(
                                                lease.duty(),
                                                lease.holder(),
                                                lease.duration(),
                                                lease.fencing(),
                                                offset,
                                                true)));
    }

    /**
     * Tells whether a fencing number is the one in force.
     *
     * <p>Guards against a holder that was paused past its lease: what it wrote after another one
     * took over stands behind that claim in the log and has no effect.
     *
     * @param duty the duty
     * @param fencing the fencing number that a record was made under
     * @return whether the record counts
     */
    public boolean isCurrentFencing(final String duty, final long fencing) {
        final LeaseState lease = mLeases.get(duty);
        return lease != null && lease.fencing() == fencing && !lease.released();
    }

    private Optional<LeaseState> findHeldLease(
            final String duty, final DaemonId holder, final long fencing) {
        return Optional.ofNullable(mLeases.get(duty))
                .filter(lease -> lease.fencing() == fencing)
                .filter(lease -> lease.holder().equals(holder))
                .filter(lease -> !lease.released());
    }
}
