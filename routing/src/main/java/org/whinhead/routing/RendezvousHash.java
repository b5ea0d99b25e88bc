package org.whinhead.routing;

import net.openhft.hashing.LongHashFunction;

/**
 * Rendezvous hashing: each pair of a member and a key has a score, and the members with the highest
 * scores own the key. All daemons agree without messages, and removing a member moves only its
 * keys.
 */
public final class RendezvousHash {

    private static final LongHashFunction TEXT_HASH = LongHashFunction.xx3();
    private static final long FIRST_FACTOR = 0xbf58476d1ce4e5b9L;
    private static final long SECOND_FACTOR = 0x94d049bb133111ebL;
    private static final int FIRST_SHIFT = 30;
    private static final int SECOND_SHIFT = 27;

    private RendezvousHash() {}

    /**
     * Returns the hash of a member's or a key's name.
     *
     * @param text the name
     * @return the hash
     */
    public static long hash(final String text) {
        return TEXT_HASH.hashChars(text);
    }

    /**
     * Returns the score of a member for a key.
     *
     * @param member the hash of the member's name
     * @param key the hash of the key
     * @return the score; the member with the highest one comes first
     */
    public static long score(final long member, final long key) {
        final long mixed = (member ^ key ^ ((member ^ key) >>> FIRST_SHIFT)) * FIRST_FACTOR;
        return (mixed ^ (mixed >>> SECOND_SHIFT)) * SECOND_FACTOR;
    }
}
