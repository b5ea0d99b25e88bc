package org.whinhead.gateway.peers;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.whinhead.serving.member.MemberTable;

/** The addresses that receive datagrams: those of known daemons, and where others may listen. */
final class PeerReceivers {

    private final MemberTable mMembers;
    private final Set<InetSocketAddress> mContacts = new HashSet<>();
    private long mVersion = -1;
    private List<InetSocketAddress> mSorted = List.of();
    private int mIndex;

    PeerReceivers(final MemberTable members) {
        mMembers = Objects.requireNonNull(members, "members");
    }

    /** Adds an address where a daemon may listen; ignores this daemon's own. */
    void addContact(final InetSocketAddress contact) {
        if (!contact.equals(mMembers.self().peerAddress())) {
            mContacts.add(contact);
        }
    }

    /**
     * Returns the receivers in order; sorts only a changed set, as it formats each address often.
     */
    List<InetSocketAddress> all() {
        final long changes = mMembers.addressChangeCount() + mContacts.size();
        if (changes != mVersion) {
            mVersion = changes;
            final Set<InetSocketAddress> receivers = new HashSet<>(mContacts);
            mMembers.peers().forEach(peer -> receivers.add(peer.peerAddress()));
            mSorted = receivers.stream().sorted(Comparator.comparing(Addresses::format)).toList();
        }
        return mSorted;
    }

    /**
     * Returns the next part of the receivers, so that all come in turn.
     *
     * @param share the size of the part, 0 to 1; it is rounded up
     */
    List<InetSocketAddress> nextPart(final double share) {
        final List<InetSocketAddress> receivers = all();
        final int count = (int) Math.min(Math.ceil(receivers.size() * share), receivers.size());
        final List<InetSocketAddress> part = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            mIndex = (mIndex + 1) % receivers.size();
            part.add(receivers.get(mIndex));
        }
        return part;
    }
}
