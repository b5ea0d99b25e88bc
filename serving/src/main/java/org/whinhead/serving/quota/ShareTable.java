package org.whinhead.serving.quota;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.function.Predicate;
import org.whinhead.api.Arguments;

/**
 * Assignment of shares to daemons, common to all customers and kept in the store.
 *
 * <p>A holder is identified by its address: a process that starts there knows that the previous one
 * has ended. So a restart needs no change of the table and no failure detection.
 *
 * @param version the version, which grows with each change
 * @param daemons the number of daemons when the first version was written
 * @param slots the holders; each customer uses {@link ShareLimits#SHARES} neighboring slots
 */
public record ShareTable(long version, int daemons, List<Slot> slots) {

    /** The number of slots, which spread the shares of many customers over many daemons. */
    public static final int SLOTS = 64;

    /** Checks and copies the components. */
    public ShareTable {
        Arguments.requireAtLeast(version, 1, "version");
        Arguments.requireAtLeast(daemons, 1, "daemons");
        slots = List.copyOf(slots);
        Arguments.requireAtLeast(slots.size(), ShareLimits.SHARES, "slots");
    }

    /**
     * An entry of the table.
     *
     * @param holder the holder's address for the other daemons
     * @param activeFrom the time of day from which the holder issues tokens
     */
    public record Slot(InetSocketAddress holder, Instant activeFrom) {

        /** Checks the components. */
        public Slot {
            Objects.requireNonNull(holder, "holder");
            Objects.requireNonNull(activeFrom, "activeFrom");
        }
    }

    /**
     * Creates the first version of the table.
     *
     * @param holders the daemons, ordered so that neighbors are unlikely to fail together
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
     * Reassigns the slots of lost daemons.
     *
     * @param isLost returns whether a daemon is lost permanently
     * @param successors the daemons that may take over
     * @param activeFrom the time of day from which the lost daemons certainly issue no tokens
     * @return the next version; this one if nothing changes
     */
    public ShareTable reassign(
            final Predicate<InetSocketAddress> isLost,
            final List<InetSocketAddress> successors,
            final Instant activeFrom) {
        final List<Slot> next = new ArrayList<>();
        int reassigned = 0;
        for (final Slot slot : slots) {
            if (isLost.test(slot.holder()) && !successors.isEmpty()) {
                next.add(new Slot(successors.get(reassigned % successors.size()), activeFrom));
                reassigned++;
            } else {
                next.add(slot);
            }
        }
        return reassigned == 0 ? this : new ShareTable(version + 1, daemons, next);
    }

    /**
     * Returns whether a daemon holds any slot.
     *
     * @param holder the daemon's address
     * @return whether the table lists the daemon
     */
    public boolean hasHolder(final InetSocketAddress holder) {
        return slots.stream().anyMatch(slot -> slot.holder().equals(holder));
    }

    /** Returns the index of the slot of one of a customer's shares. */
    int slotOf(final String customer, final int share) {
        return Math.floorMod(customer.hashCode() * ShareLimits.SHARES + share, slots.size());
    }
}
