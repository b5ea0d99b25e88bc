package org.whinhead.membership;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.whinhead.api.model.VmId;

/** Probes made for other daemons, whose replies go back to them. */
final class ProbeRelay {

    private static final int MAX_PENDING_PROBES = 256;

    private final List<RelayedProbe> mPending = new ArrayList<>();

    /** Keeps a question; tells whether there was room. */
    boolean add(final VmId requester, final VmId target, final long nonce, final Instant deadline) {
        if (mPending.size() >= MAX_PENDING_PROBES) {
            return false;
        }
        mPending.add(new RelayedProbe(requester, target, nonce, deadline));
        return true;
    }

    /** Takes the questions about a VM that turned out to be live. */
    List<RelayedProbe> removeFor(final VmId target) {
        final List<RelayedProbe> taken = new ArrayList<>();
        final Iterator<RelayedProbe> waiting = mPending.iterator();
        while (waiting.hasNext()) {
            final RelayedProbe relayed = waiting.next();
            if (relayed.target().equals(target)) {
                taken.add(relayed);
                waiting.remove();
            }
        }
        return taken;
    }

    void expire(final Instant now) {
        mPending.removeIf(relayed -> !now.isBefore(relayed.deadline()));
    }

    /** One question of another daemon. */
    record RelayedProbe(VmId requester, VmId target, long nonce, Instant deadline) {}
}
