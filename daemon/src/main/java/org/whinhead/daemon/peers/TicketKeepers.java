package org.whinhead.daemon.peers;

import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.api.model.VmId;
import org.whinhead.api.model.VmState;
import org.whinhead.api.request.RequestId;
import org.whinhead.membership.DaemonMember;
import org.whinhead.membership.MembershipView;
import org.whinhead.routing.RendezvousHash;

/**
 * Selects the daemons that keep a request's ticket, by rendezvous hashing: every daemon finds the
 * same ones without a message, and the loss of a daemon moves no other request's tickets.
 *
 * <p>Daemons of the writer's failure domain come last, as they may be lost together with it.
 */
final class TicketKeepers {

    /**
     * The number of daemons that keep a ticket: one is left when half of eight or nine daemons, the
     * writer among them, end at the same time.
     */
    private static final int KEEPERS = 4;

    private TicketKeepers() {}

    /** Returns the peers that keep the ticket of a request of this daemon. */
    static List<DaemonMember> ofOwnRequest(
            final MembershipView view, final VmId self, final RequestId request) {
        final List<DaemonMember> peers =
                ranked(view, request).stream().filter(peer -> !peer.id().equals(self)).toList();
        return otherDomainsFirst(peers, view.ownDomain()).limit(KEEPERS).toList();
    }

    /**
     * Returns the peers that may keep the ticket of a request of another daemon, whose failure
     * domain is not known and which may rank among them although it keeps none itself.
     */
    static List<DaemonMember> ofPeerRequest(
            final MembershipView view, final VmId self, final RequestId request) {
        final List<DaemonMember> ranked = ranked(view, request);
        return ranked.stream()
                .map(member -> member.vm().domain())
                .distinct()
                .flatMap(domain -> otherDomainsFirst(ranked, domain).limit(KEEPERS + 1L))
                .distinct()
                .filter(member -> !member.id().equals(self))
                .toList();
    }

    private static Stream<DaemonMember> otherDomainsFirst(
            final List<DaemonMember> ranked, final FailureDomain domain) {
        return Stream.concat(
                ranked.stream().filter(member -> !member.vm().domain().equals(domain)),
                ranked.stream().filter(member -> member.vm().domain().equals(domain)));
    }

    private static List<DaemonMember> ranked(final MembershipView view, final RequestId request) {
        final long key = RendezvousHash.hash(request.value());
        return view.daemons().stream()
                .filter(member -> member.vm().state() != VmState.GONE)
                .sorted(
                        Comparator.<DaemonMember>comparingLong(member -> score(member, key))
                                .reversed()
                                .thenComparing(DaemonMember::id))
                .toList();
    }

    private static long score(final DaemonMember member, final long key) {
        return RendezvousHash.score(RendezvousHash.hash(member.id().value()), key);
    }
}
