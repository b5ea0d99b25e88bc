package org.whinhead.serving.quota;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.whinhead.serving.member.Member;

/** Orders the daemons that are to hold shares. */
public final class ShareHolders {

    private ShareHolders() {}

    /**
     * Takes a daemon of each failure domain in turn, and within a domain no two that are likely to
     * be stopped one after the other. A customer's shares are neighbours in the table, so neither
     * the loss of a domain nor a restart of all in turn takes many of them at once.
     *
     * @param members the daemons
     * @return their addresses
     */
    public static List<InetSocketAddress> interleaveDomains(final Collection<Member> members) {
        final Map<String, List<Member>> byDomain = new TreeMap<>();
        members.stream()
                .sorted(
                        Comparator.comparingInt((Member member) -> mixed(member.name()))
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

    /** Names are numbered, and numbers that follow each other have hash codes that do. */
    private static int mixed(final String name) {
        final int hash = name.hashCode() * 0x9E3779B9;
        return hash ^ hash >>> 15;
    }
}
