package org.whinhead.serving.store;

/**
 * A position in a topic: the era of the store and an offset, as one ordered number.
 *
 * <p>A store that returns from an older copy begins a new era and gives offsets out again, so an
 * offset alone names different records in different eras. Every position of an era is greater than
 * all positions of earlier eras, so the newer of two positions is the greater one. In era 0 a
 * position equals its offset.
 */
public final class StorePosition {

    private static final int OFFSET_BITS = 40;

    /** The greatest offset: decades of appends at several hundred a second. */
    public static final long MAX_OFFSET = (1L << OFFSET_BITS) - 1;

    /** The greatest era; positions up to it are positive. */
    public static final long MAX_ERA = (1L << (Long.SIZE - 1 - OFFSET_BITS)) - 1;

    private StorePosition() {}

    /**
     * Returns the position of an offset in an era.
     *
     * @param era the era, from 0 to {@link #MAX_ERA}
     * @param offset the offset, from 0 to {@link #MAX_OFFSET}
     * @return the position
     * @throws IllegalArgumentException if a number is out of range
     */
    public static long of(final long era, final long offset) {
        if (era < 0 || era > MAX_ERA) {
            throw new IllegalArgumentException("era out of range: " + era);
        }
        if (offset < 0 || offset > MAX_OFFSET) {
            throw new IllegalArgumentException("offset out of range: " + offset);
        }
        return era << OFFSET_BITS | offset;
    }

    /**
     * Returns the era of a position.
     *
     * @param position the position
     * @return its era
     */
    public static long era(final long position) {
        return position >> OFFSET_BITS;
    }

    /**
     * Returns whether the store has returned from an older copy between two reads.
     *
     * @param earlier the position that was read earlier; negative if there was none
     * @param later the position that was read later
     * @return whether the later position is of a later era
     */
    public static boolean isLaterEra(final long earlier, final long later) {
        return earlier >= 0 && era(later) > era(earlier);
    }

    /**
     * Returns the offset of a position within its era.
     *
     * @param position the position
     * @return its offset
     */
    public static long offset(final long position) {
        return position & MAX_OFFSET;
    }
}
