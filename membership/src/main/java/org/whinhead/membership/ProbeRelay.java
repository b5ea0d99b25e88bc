package org.whinhead.membership;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import org.whinhead.api.model.VmId;

/** Probes made for other daemons, whose replies go back to them. */
final class ProbeRelay {

    private static final int MOST_WAITING = 256;

    private final List<Relayed> mWaiting = new ArrayList<>();

    /** Keeps a question; tells whether there was room. */
    boolean add(final VmId requester, final VmId target, final long nonce, final Instant deadline) {
        if (mWaiting.size() >= MOST_WAITING) {
            return false;
        }
        mWaiting.add(new Relayed(requester, target, nonce, deadline));
        return true;
    }

    /** Takes the questions about a VM that turned out to be live. */
    List<Relayed> takeFor(final VmId target) {
        final List<Relayed> taken = new ArrayList<>();
        final Iterator<Relayed> waiting = mWaiting.iterator();
        while (waiting.hasNext()) {
            final Relayed relayed = waiting.next();
            if (relayed.target().equals(target)) {
                taken.add(relayed);
                waiting.remove();
            }
        }
        return taken;
    }

    void expire(final Instant now) {
        mWaiting.removeIf(relayed -> !now.isBefore(relayed.deadline()));
    }

    /** One question of another daemon. */
    record Relayed(VmId requester, VmId target, long nonce, Instant deadline) {}
}
