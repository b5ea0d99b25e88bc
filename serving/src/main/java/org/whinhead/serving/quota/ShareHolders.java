package org.whinhead.serving.quota;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.whinhead.serving.member.Member;

/** Orders daemons for the share table. */
public final class ShareHolders {

    private ShareHolders() {}

    /**
     * Interleaves the failure domains, with the daemons of a domain ordered by a hash of their
     * names. A customer's shares are neighbors in the table, so neither the loss of a domain nor a
     * rolling restart in the order of names affects many of them at once.
     *
     * @param members the daemons
     * @return the addresses of the daemons
     */
    public static List<InetSocketAddress> interleaveDomains(final Collection<Member> members) {
        final Map<String, List<Member>> byDomain = new TreeMap<>();
        members.stream()
                .sorted(
                        Comparator.comparingInt((Member member) -> mixedHash(member.name()))
                                .thenComparing(Member::name))
                .forEach(
                        member ->
                                byDomain.computeIfAbsent(
                                                member.domain(), domain -> new ArrayList<>())
                                        .add(member));
        final List<InetSocketAddress> ordered = new ArrayList<>();
        for (int row = 0; ordered.size() < members.size(); row++) {
            for (final List<Member> domain : byDomain.values()) {
                if (row < domain.size()) {
                    ordered.add(domain.get(row).peerAddress());
                }
            }
        }
        return ordered;
    }

    /** Spreads the hash codes of consecutively numbered names, which are consecutive too. */
    private static int mixedHash(final String name) {
        final int hash = name.hashCode() * 0x9E3779B9;
        return hash ^ hash >>> 15;
    }
}
