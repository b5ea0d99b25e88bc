package org.whinhead.serving.quota;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Predicate;
import org.whinhead.api.Arguments;

/**
 * Which daemon holds which shares, the same for all customers; kept in the store.
 *
 * <p>A holder is known by its address: a process that comes up there knows that the one before is
 * gone. So a restart needs no change of the table, and no daemon has to find out who is alive.
 *
 * @param version grows with each change
 * @param daemons how many daemons there were when it was written
 * @param slots the holders; each customer uses {@link ShareLimits#SHARES} neighbouring slots
 */
public record ShareTable(long version, int daemons, List<Slot> slots) {

    /** The slots of a table, so that the shares of many customers spread over many daemons. */
    public static final int SLOTS = 64;

    /** Checks and copies the parts. */
    public ShareTable {
        Arguments.requireAtLeast(version, 1, "version");
        Arguments.requireAtLeast(daemons, 1, "daemons");
        slots = List.copyOf(slots);
        Arguments.requireAtLeast(slots.size(), ShareLimits.SHARES, "slots");
    }

    /**
     * A place in the table.
     *
     * @param holder the daemon's address for the other daemons
     * @param activeFrom the time of day from which the holder issues tokens
     */
    public record Slot(InetSocketAddress holder, Instant activeFrom) {

        /** Checks the parts. */
        public Slot {
            Objects.requireNonNull(holder, "holder");
            Objects.requireNonNull(activeFrom, "activeFrom");
        }
    }

    /**
     * Makes the first table.
     *
     * @param holders the daemons, ordered so that neighbours should not fail together
     * @return the table
     */
    public static ShareTable initial(final List<InetSocketAddress> holders) {
        final List<Slot> slots = new ArrayList<>();
        for (int index = 0; index < SLOTS; index++) {
            slots.add(new Slot(holders.get(index % holders.size()), Instant.EPOCH));
        }
        return new ShareTable(1, holders.size(), slots);
    }

    /**
     * Gives the slots of daemons that are gone to others.
     *
     * @param isGone tells whether a daemon is gone for good
     * @param successors who may take over
     * @param activeFrom when the daemons that are gone have surely stopped issuing tokens
     * @return the next table; this one if nothing changes
     */
    public ShareTable reassign(
            final Predicate<InetSocketAddress> isGone,
            final List<InetSocketAddress> successors,
            final Instant activeFrom) {
        final List<Slot> next = new ArrayList<>();
        int taken = 0;
        for (final Slot slot : slots) {
            if (isGone.test(slot.holder()) && !successors.isEmpty()) {
                next.add(new Slot(successors.get(taken % successors.size()), activeFrom));
                taken++;
            } else {
                next.add(slot);
            }
        }
        return taken == 0 ? this : new ShareTable(version + 1, daemons, next);
    }

    /**
     * Tells whether a daemon holds any slot.
     *
     * @param holder the daemon's address
     * @return whether it is named
     */
    public boolean hasHolder(final InetSocketAddress holder) {
        return slots.stream().anyMatch(slot -> slot.holder().equals(holder));
    }

    /** The slot of one of a customer's shares. */
    int slotOf(final String customer, final int share) {
        return Math.floorMod(customer.hashCode() * ShareLimits.SHARES + share, slots.size());
    }
}
