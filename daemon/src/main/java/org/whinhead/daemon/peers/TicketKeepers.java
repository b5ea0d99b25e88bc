package org.whinhead.daemon.peers;

import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;
import org.whinhead.api.request.RequestId;
import org.whinhead.membership.DaemonMember;
import org.whinhead.membership.MembershipView;
import org.whinhead.routing.RendezvousHash;

/**
 * Selects the daemons that keep a request's ticket, by rendezvous hashing: every daemon finds the
 * same ones without a message, and the loss of a daemon moves no other request's tickets.
 */
final class TicketKeepers {

    /** The number of daemons that keep a ticket; one may be lost together with its writer. */
    private static final int KEEPERS = 2;

    private TicketKeepers() {}

    /** Returns the peers that keep the ticket of a request of this daemon. */
    static List<DaemonMember> ofOwnRequest(
            final MembershipView view, final VmId self, final RequestId request) {
        return ranked(view, self, request).limit(KEEPERS).toList();
    }

    /**
     * Returns the peers that may keep the ticket of a request of another daemon, which may rank
     * among them and keeps none itself.
     */
    static List<DaemonMember> ofPeerRequest(
            final MembershipView view, final VmId self, final RequestId request) {
        return ranked(view, self, request).limit(KEEPERS + 1L).toList();
    }

    private static Stream<DaemonMember> ranked(
            final MembershipView view, final VmId self, final RequestId request) {
        final long key = RendezvousHash.hash(request.value());
        return view.daemons().stream()
                .filter(member -> !member.id().equals(self))
                .filter(member -> member.vm().state() != VmState.GONE)
                .sorted(
                        Comparator.<DaemonMember>comparingLong(member -> score(member, key))
                                .reversed()
                                .thenComparing(DaemonMember::id));
    }

    private static long score(final DaemonMember member, final long key) {
        return RendezvousHash.score(RendezvousHash.hash(member.id().value()), key);
    }
}
