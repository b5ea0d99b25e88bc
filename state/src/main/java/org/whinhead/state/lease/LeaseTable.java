package org.whinhead.state.lease;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.whinhead.api.model.DaemonId;
import org.whinhead.state.record.LogRecord;

/**
 * The lease of each duty, updated by lease records in log order.
 *
 * <p>The table uses no clock: a claim wins if it names the newest record of the lease that it
 * replaces. The claimant decides whether that lease has ended. Of two claimants one wins, and a
 * renewal that precedes both in the log defeats both.
 */
public final class LeaseTable {

    private final Map<String, LeaseState> mLeases = new TreeMap<>();

    /** Returns a copy of all leases by duty. */
    public Map<String, LeaseState> snapshot() {
        return Map.copyOf(mLeases);
    }

    /**
     * Replaces all leases.
     *
     * @param leases the leases by duty
     */
    public void restore(final Map<String, LeaseState> leases) {
        mLeases.clear();
        mLeases.putAll(leases);
    }

    /**
     * Applies a claim. The claim has no effect unless it names the newest record of the lease.
     *
     * @param record the claim
     * @param offset the offset of the claim, which is the fencing number if the claim wins
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
     * Extends a lease, unless it was claimed by another daemon or released before.
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
     * Releases a lease, unless it was claimed by another daemon before.
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
     * Returns whether a fencing number is that of the duty's current lease.
     *
     * <p>Records that a paused holder writes after its successor's claim follow that claim in the
     * log and must have no effect.
     *
     * @param duty the duty
     * @param fencing the fencing number in a record
     * @return whether the record takes effect
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
