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

/** Estimates the levels of shares and selects those to request tokens from. */
final class ShareEstimates {

    /** How long other holders are preferred to one that did not respond. */
    private static final Duration UNRESPONSIVE_TIME = Duration.ofSeconds(10);

    /** The shortest retry delay of a customer that is over its allowance. */
    private static final Duration MIN_RETRY_DELAY = Duration.ofMillis(20);

    private final HeldShares mHeldShares;
    private final Random mRandom;
    private final Map<String, List<ShareEstimate>> mEstimates = new HashMap<>();
    private final Map<InetSocketAddress, Instant> mUnresponsiveUntil = new HashMap<>();

    /**
     * Creates estimates without any reported level.
     *
     * @param heldShares the shares that this daemon holds, and the table
     * @param random selects among equally suitable shares
     */
    ShareEstimates(final HeldShares heldShares, final Random random) {
        mHeldShares = heldShares;
        mRandom = random;
    }

    /** Removes the estimates of all other customers. */
    void retainCustomers(final Collection<String> customers) {
        mEstimates.keySet().retainAll(customers);
    }

    /** Records the level of a share that its holder has reported, in tokens. */
    void recordLevel(final TokenRequest request, final TokenResponse response, final Instant now) {
        estimate(request.customer(), request.slot())
                .setLevel(response.level(), response.gainPerSecond(), now);
        mUnresponsiveUntil.remove(holder(request.slot()));
    }

    /** Records that a holder did not respond, or does not hold the share. */
    void recordFailure(final TokenRequest request, final Instant now) {
        mUnresponsiveUntil.put(holder(request.slot()), now.plus(UNRESPONSIVE_TIME));
    }

    /**
     * Returns the slots that may have enough tokens: responsive holders first, and of those the
     * shares that are not low, own ones before others.
     *
     * <p>A full share wastes its refill while requests are rejected at low ones, so the fullest is
     * asked first.
     */
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
                Comparator.<Integer, Boolean>comparing(slot -> isUnresponsive(slot, now.steady()))
                        .thenComparing(slot -> isLow(claim, slot, limits, now))
                        .thenComparing(slot -> !mHeldShares.isOwn(slot))
                        .thenComparing(fullestFirst(claim, limits, now)));
        return slots;
    }

    /**
     * Returns the slots over which the missing tokens can be split evenly, as many as possible.
     *
     * @return the slots, or an empty list if no even split is known to be possible
     */
    List<Integer> slotsForEvenParts(
            final TokenClaim claim, final ShareLimits limits, final ClockReading now) {
        final List<Integer> slots = candidateSlots(claim, limits, now);
        slots.sort(fullestFirst(claim, limits, now));
        for (int parts = slots.size(); parts > 0; parts--) {
            final double part = Math.ceil((double) claim.missingTokens() / parts);
            final int lowestSlot = slots.get(parts - 1);
            if (levelUpperBound(claim.customer(), lowestSlot, limits, now)
                    >= limits.requiredLevel(part, claim.isLight())) {
                return List.copyOf(slots.subList(0, parts));
            }
        }
        return List.of();
    }

    private Comparator<Integer> fullestFirst(
            final TokenClaim claim, final ShareLimits limits, final ClockReading now) {
        return Comparator.<Integer>comparingDouble(
                        slot -> levelUpperBound(claim.customer(), slot, limits, now))
                .reversed();
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

    /** Returns the time until as many shares as a claim needs may have enough tokens. */
    Duration retryAfter(final TokenClaim claim, final ShareLimits limits, final Instant now) {
        final ShareTable table = mHeldShares.table().orElseThrow();
        final int parts = limits.partCount(claim.tokens());
        final double needed = limits.requiredLevel(claim.tokens() / parts, claim.isLight());
        final List<Duration> delays = new ArrayList<>();
        for (int share = 0; share < ShareLimits.SHARES; share++) {
            final ShareEstimate estimate =
                    estimate(claim.customer(), table.slotOf(claim.customer(), share));
            delays.add(estimate.timeUntil(needed, limits, now));
        }
        Collections.sort(delays);
        final Duration delay = delays.get(parts - 1);
        return delay.compareTo(MIN_RETRY_DELAY) > 0 ? delay : MIN_RETRY_DELAY;
    }

    /** Returns what is known of the levels of a customer's shares, those held here exactly. */
    List<KnownLevel> knownLevels(final String customer, final ClockReading now) {
        final List<KnownLevel> levels = new ArrayList<>();
        final ShareTable table = mHeldShares.table().orElseThrow();
        for (int share = 0; share < ShareLimits.SHARES; share++) {
            final int slot = table.slotOf(customer, share);
            if (mHeldShares.canIssue(slot, now)) {
                final long level = Math.round(mHeldShares.level(customer, slot, now));
                levels.add(new KnownLevel(slot, level, Duration.ZERO));
            } else {
                estimate(customer, slot).known(slot, now.steady()).ifPresent(levels::add);
            }
        }
        return levels;
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
        final List<ShareEstimate> estimates = new ArrayList<>();
        for (int share = 0; share < ShareLimits.SHARES; share++) {
            estimates.add(new ShareEstimate());
        }
        return estimates;
    }
}
