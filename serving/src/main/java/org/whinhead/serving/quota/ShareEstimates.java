package org.whinhead.serving.quota;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** What a daemon believes of the shares that it may ask, and which of them it asks. */
final class ShareEstimates {

    /** How long a holder that did not answer is passed over, if others are left. */
    private static final Duration UNRESPONSIVE_TIME = Duration.ofSeconds(10);

    /** The least time after which a customer that is over its allowance is asked to come back. */
    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(20);

    private final HeldShares mHeldShares;
    private final Random mRandom;
    private final Map<String, List<ShareEstimate>> mEstimates = new HashMap<>();
    private final Map<InetSocketAddress, Instant> mUnresponsiveUntil = new HashMap<>();

    /**
     * Makes views of shares that nothing was heard of.
     *
     * @param held the shares that this daemon holds itself, and the table
     * @param random picks among shares that look alike
     */
    ShareEstimates(final HeldShares held, final Random random) {
        mHeldShares = held;
        mRandom = random;
    }

    /** Forgets all customers but these. */
    void retainCustomers(final Collection<String> customers) {
        mEstimates.keySet().retainAll(customers);
    }

    /** Notes what a holder says that a share has left. */
    void recordLevel(final TokenRequest ask, final long level, final Instant now) {
        estimate(ask.customer(), ask.slot()).setLevel(level, now);
        mUnresponsiveUntil.remove(holder(ask.slot()));
    }

    /** Notes that a holder did not answer, or did not know that it is one. */
    void recordFailure(final TokenRequest ask, final Instant now) {
        mUnresponsiveUntil.put(holder(ask.slot()), now.plus(UNRESPONSIVE_TIME));
    }

    /** The slots that may have enough: own ones, then those of holders that answer. */
    List<Integer> candidateSlots(
            final TokenClaim claim, final ShareLimits limits, final ClockReading now) {
        final ShareTable table = mHeldShares.table().orElseThrow();
        final List<Integer> slots = new ArrayList<>();
        for (int share = 0; share < ShareLimits.SHARES; share++) {
            final int slot = table.slotOf(claim.customer(), share);
            final double level = levelUpperBound(claim.customer(), slot, limits, now);
            if (claim.canAsk(slot) && level >= limits.minLevelBefore(claim.isLight())) {
                slots.add(slot);
            }
        }
        Collections.shuffle(slots, mRandom);
        slots.sort(
                Comparator.<Integer, Boolean>comparing(slot -> !mHeldShares.isOwn(slot))
                        .thenComparing(slot -> isUnresponsive(slot, now.steady()))
                        .thenComparing(slot -> isLow(claim, slot, limits, now)));
        return slots;
    }

    private boolean isUnresponsive(final int slot, final Instant now) {
        return now.isBefore(mUnresponsiveUntil.getOrDefault(holder(slot), Instant.EPOCH));
    }

    private boolean isLow(
            final TokenClaim claim,
            final int slot,
            final ShareLimits limits,
            final ClockReading now) {
        return levelUpperBound(claim.customer(), slot, limits, now) < limits.capacityTokens() / 2;
    }

    private double levelUpperBound(
            final String customer,
            final int slot,
            final ShareLimits limits,
            final ClockReading now) {
        return mHeldShares.isOwn(slot)
                ? mHeldShares.level(customer, slot, now)
                : estimate(customer, slot).upperBound(limits, now.steady());
    }

    /** The time until as many shares as a claim needs may have enough for it. */
    Duration retryAfter(final TokenClaim claim, final ShareLimits limits, final Instant now) {
        final ShareTable table = mHeldShares.table().orElseThrow();
        final int parts = limits.partCount(claim.tokens());
        final double needed = limits.requiredLevel(claim.tokens() / parts, claim.isLight());
        final List<Duration> times = new ArrayList<>();
        for (int share = 0; share < ShareLimits.SHARES; share++) {
            final ShareEstimate view =
                    estimate(claim.customer(), table.slotOf(claim.customer(), share));
            times.add(view.timeUntil(needed, limits, now));
        }
        Collections.sort(times);
        final Duration enough = times.get(parts - 1);
        return enough.compareTo(MIN_RETRY_DELAY) > 0 ? enough : MIN_RETRY_DELAY;
    }

    private InetSocketAddress holder(final int slot) {
        return mHeldShares.table().orElseThrow().slots().get(slot).holder();
    }

    private ShareEstimate estimate(final String customer, final int slot) {
        return mEstimates
                .computeIfAbsent(customer, name -> newEstimates())
                .get(slot % ShareLimits.SHARES);
    }

    private static List<ShareEstimate> newEstimates() {
        final List<ShareEstimate> views = new ArrayList<>();
        for (int share = 0; share < ShareLimits.SHARES; share++) {
            views.add(new ShareEstimate());
        }
        return views;
    }
}
