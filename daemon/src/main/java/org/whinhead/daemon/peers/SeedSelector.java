package org.whinhead.daemon.peers;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.whinhead.api.model.VmState;
import org.whinhead.membership.DaemonAddress;
import org.whinhead.membership.DaemonMember;
import org.whinhead.membership.MembershipView;
import org.whinhead.settings.daemon.HostPort;

/** Selects the seed addresses to contact: those at which no daemon is known. */
final class SeedSelector {

    private static final Duration INTERVAL = Duration.ofSeconds(2);

    private final List<HostPort> mSeeds;
    private final HostPort mOwn;
    private Instant mNextContact = Instant.MIN;

    SeedSelector(final List<HostPort> seeds, final DaemonAddress own) {
        mSeeds = seeds;
        mOwn = hostPort(own);
    }

    /** Returns the addresses to contact now; none until the interval has passed. */
    List<InetSocketAddress> seedsToContact(final MembershipView view, final Instant now) {
        if (now.isBefore(mNextContact)) {
            return List.of();
        }
        mNextContact = now.plus(INTERVAL);
        final Set<HostPort> known = new HashSet<>();
        known.add(mOwn);
        for (final DaemonMember member : view.daemons()) {
            if (member.vm().state() != VmState.GONE) {
                known.add(hostPort(member.address()));
            }
        }
        return mSeeds.stream()
                .filter(seed -> !known.contains(seed))
                .map(seed -> new InetSocketAddress(seed.host(), seed.port()))
                .toList();
    }

    private static HostPort hostPort(final DaemonAddress address) {
        return new HostPort(address.host(), address.port());
    }
}
