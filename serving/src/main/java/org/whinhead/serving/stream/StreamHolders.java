package org.whinhead.serving.stream;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.whinhead.serving.member.Member;

/**
 * Selects the daemons that know a stream, besides the one that began it.
 *
 * <p>Each daemon ranks the others by the stream's key, so that all come to nearly the same order
 * without a message. More are asked than told, as lists of daemons differ for a while.
 */
public final class StreamHolders {

    /** The daemons that are asked: those told, and some that others may have told. */
    public static final int ASKED = 8;

    private static final long SPREAD_FACTOR = 0x9E3779B97F4A7C15L;

    private StreamHolders() {}

    /**
     * Returns the daemons to tell of a stream.
     *
     * @param key the stream
     * @param others the daemons that are up, without this one
     * @param copies the most daemons to tell
     * @return the daemons, in different failure domains if there are as many
     */
    public static List<Member> toTell(
            final StreamKey key, final Collection<Member> others, final int copies) {
        return ranked(key, others, copies);
    }

    /**
     * Returns the daemons to ask for a stream.
     *
     * @param key the stream
     * @param others the daemons that are up, without this one
     * @return up to eight of them, the likeliest first
     */
    public static List<Member> toAsk(final StreamKey key, final Collection<Member> others) {
        return ranked(key, others, ASKED);
    }

    /** Returns the first of each failure domain in order of rank, and then the others. */
    private static List<Member> ranked(
            final StreamKey key, final Collection<Member> others, final int count) {
        final List<Member> ranked = new ArrayList<>(others);
        ranked.sort(
                Comparator.<Member>comparingLong(member -> score(key, member))
                        .thenComparing(Member::name));
        final Set<String> domains = new HashSet<>();
        final List<Member> selected = new ArrayList<>();
        final List<Member> further = new ArrayList<>();
        for (final Member member : ranked) {
            (domains.add(member.domain()) ? selected : further).add(member);
        }
        selected.addAll(further);
        return selected.subList(0, Math.min(count, selected.size()));
    }

    private static long score(final StreamKey key, final Member member) {
        long hash = (key.low() ^ member.name().hashCode()) * SPREAD_FACTOR;
        hash ^= hash >>> 32;
        hash *= SPREAD_FACTOR;
        return hash ^ (hash >>> 29);
    }
}
