package org.whinhead.serving.reach;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.random.RandomGenerator;
import org.whinhead.serving.member.MemberTable;
import org.whinhead.serving.member.Relay;

/** Selects the daemons through which a daemon connects to endpoints that it doesn't reach. */
public final class RelaySelector {

    /** The time for which a daemon that didn't relay is not asked again, if there are others. */
    private static final Duration FAILURE_BACKOFF = Duration.ofSeconds(2);

    /**
     * The fewest relays of the own failure domain for which those of other domains are not used:
     * bytes between domains are billed, but a single relay would carry the load of all daemons that
     * are cut off.
     */
    private static final int MIN_DOMAIN_RELAYS = 2;

    private final MemberTable mMembers;
    private final RandomGenerator mRandom;
    private final Map<String, Instant> mFailedAt = new HashMap<>();

    /**
     * Creates a selector.
     *
     * @param members the known daemons
     * @param random the source of the random order
     */
    public RelaySelector(final MemberTable members, final RandomGenerator random) {
        mMembers = Objects.requireNonNull(members, "members");
        mRandom = Objects.requireNonNull(random, "random");
    }

    /**
     * Returns daemons that may relay a connection, in the order in which to ask them.
     *
     * @param count the most daemons to return
     * @param now the current time
     * @return the daemons; empty if there are none
     */
    public List<Relay> select(final int count, final Instant now) {
        mFailedAt.values().removeIf(failedAt -> now.isAfter(failedAt.plus(FAILURE_BACKOFF)));
        final List<Relay> all = mMembers.relays(now);
        final List<Relay> working =
                all.stream().filter(relay -> !mFailedAt.containsKey(relay.daemon())).toList();
        final List<Relay> usable = working.isEmpty() ? all : working;
        final String ownDomain = mMembers.self().domain();
        final List<Relay> near =
                usable.stream().filter(relay -> relay.domain().equals(ownDomain)).toList();
        return draw(near.size() >= MIN_DOMAIN_RELAYS ? near : usable, count);
    }

    private List<Relay> draw(final List<Relay> from, final int count) {
        final List<Relay> left = new ArrayList<>(from);
        final List<Relay> drawn = new ArrayList<>();
        while (drawn.size() < count && !left.isEmpty()) {
            drawn.add(left.remove(mRandom.nextInt(left.size())));
        }
        return drawn;
    }

    /**
     * Records that a daemon did not relay a connection.
     *
     * @param daemon the daemon's name
     * @param now the current time
     */
    public void recordFailure(final String daemon, final Instant now) {
        mFailedAt.put(daemon, now);
    }
}
