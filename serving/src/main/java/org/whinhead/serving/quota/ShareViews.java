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
final class ShareViews {

    /** How long a holder that did not answer is passed over, if others are left. */
    private static final Duration SILENT_FOR = Duration.ofSeconds(10);

    /** The least time after which a customer that is over its allowance is asked to come back. */
    private static final Duration LEAST_RETRY = Duration.ofMillis(20);

    private final HeldShares mHeld;
    private final Random mRandom;
    private final Map<String, List<ShareView>> mViews = new HashMap<>();
    private final Map<InetSocketAddress, Instant> mSilentUntil = new HashMap<>();

    /**
     * Makes views of shares that nothing was heard of.
     *
     * @param held the shares that this daemon holds itself, and the table
     * @param random picks among shares that look alike
     */
    ShareViews(final HeldShares held, final Random random) {
        mHeld = held;
        mRandom = random;
    }

    /** Forgets all customers but these. */
    void retain(final Collection<String> customers) {
        mViews.keySet().retainAll(customers);
    }

    /** Notes what a holder says that a share has left. */
    void heard(final TokenAsk ask, final long level, final Instant now) {
        view(ask.customer(), ask.slot()).level(level, now);
        mSilentUntil.remove(holder(ask.slot()));
    }

    /** Notes that a holder did not answer, or did not know that it is one. */
    void silent(final TokenAsk ask, final Instant now) {
        mSilentUntil.put(holder(ask.slot()), now.plus(SILENT_FOR));
    }

    /** The slots that may have enough: own ones, then those of holders that answer. */
    List<Integer> slotsToAsk(final TokenClaim claim, final ShareLimits limits, final Moment now) {
        final ShareTable table = mHeld.table().orElseThrow();
        final List<Integer> slots = new ArrayList<>();
        for (int share = 0; share < ShareLimits.SHARES; share++) {
            final int slot = table.slotOf(claim.customer(), share);
            final double level = levelAtMost(claim.customer(), slot, limits, now);
            if (claim.mayAsk(slot) && level >= limits.leastBefore(claim.isLight())) {
                slots.add(slot);
            }
        }
        Collections.shuffle(slots, mRandom);
        slots.sort(
                Comparator.<Integer, Boolean>comparing(slot -> !mHeld.isOwn(slot))
                        .thenComparing(slot -> isSilent(slot, now.steady()))
                        .thenComparing(slot -> isLow(claim, slot, limits, now)));
        return slots;
    }

    private boolean isSilent(final int slot, final Instant now) {
        return now.isBefore(mSilentUntil.getOrDefault(holder(slot), Instant.EPOCH));
    }

    private boolean isLow(
            final TokenClaim claim, final int slot, final ShareLimits limits, final Moment now) {
        return levelAtMost(claim.customer(), slot, limits, now) < limits.fullTokens() / 2;
    }

    private double levelAtMost(
            final String customer, final int slot, final ShareLimits limits, final Moment now) {
        return mHeld.isOwn(slot)
                ? mHeld.level(customer, slot, now)
                : view(customer, slot).atMost(limits, now.steady());
    }

    /** The time until as many shares as a claim needs may have enough for it. */
    Duration comeBackAfter(final TokenClaim claim, final ShareLimits limits, final Instant now) {
        final ShareTable table = mHeld.table().orElseThrow();
        final int parts = limits.partsOf(claim.tokens());
        final double needed = limits.levelFor(claim.tokens() / parts, claim.isLight());
        final List<Duration> times = new ArrayList<>();
        for (int share = 0; share < ShareLimits.SHARES; share++) {
            final ShareView view = view(claim.customer(), table.slotOf(claim.customer(), share));
            times.add(view.until(needed, limits, now));
        }
        Collections.sort(times);
        final Duration enough = times.get(parts - 1);
        return enough.compareTo(LEAST_RETRY) > 0 ? enough : LEAST_RETRY;
    }

    private InetSocketAddress holder(final int slot) {
        return mHeld.table().orElseThrow().slots().get(slot).holder();
    }

    private ShareView view(final String customer, final int slot) {
        return mViews.computeIfAbsent(customer, name -> unseen()).get(slot % ShareLimits.SHARES);
    }

    private static List<ShareView> unseen() {
        final List<ShareView> views = new ArrayList<>();
        for (int share = 0; share < ShareLimits.SHARES; share++) {
            views.add(new ShareView());
        }
        return views;
    }
}
