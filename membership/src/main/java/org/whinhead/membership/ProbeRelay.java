package org.whinhead.membership;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.whinhead.api.model.VmId;

/** Holds probes made on behalf of other daemons until the target answers or the deadline passes. */
final class ProbeRelay {

    private static final int MAX_PENDING_PROBES = 256;

    private final List<RelayedProbe> mPending = new ArrayList<>();

    /** Adds a probe and returns whether there was room for it. */
    boolean add(final VmId requester, final VmId target, final long nonce, final Instant deadline) {
        if (mPending.size() >= MAX_PENDING_PROBES) {
            return false;
        }
        mPending.add(new RelayedProbe(requester, target, nonce, deadline));
        return true;
    }

    /** Removes and returns the probes of a VM that has answered. */
    List<RelayedProbe> removeFor(final VmId target) {
        final List<RelayedProbe> removed = new ArrayList<>();
        final Iterator<RelayedProbe> pending = mPending.iterator();
        while (pending.hasNext()) {
            final RelayedProbe relayed = pending.next();
            if (relayed.target().equals(target)) {
                removed.add(relayed);
                pending.remove();
            }
        }
        return removed;
    }

    void expire(final Instant now) {
        mPending.removeIf(relayed -> !now.isBefore(relayed.deadline()));
    }

    /** A probe requested by another daemon. */
    record RelayedProbe(VmId requester, VmId target, long nonce, Instant deadline) {}
}
