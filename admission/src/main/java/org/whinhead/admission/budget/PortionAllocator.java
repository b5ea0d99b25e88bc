package org.whinhead.admission.budget;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.model.TeamId;

/**
 * The allocator of the budget holder: grants portions of the tokens that accrue in the windows it
 * has reserved on the log.
 *
 * <p>Windows prevent that two holders grant the same tokens: a holder grants only the tokens of its
 * own windows, and windows never overlap, since each begins no earlier than the end of the previous
 * one in log order. A holder paused past its window grants nothing. A new holder starts empty at
 * the end of the last window, regardless of the portions granted from that window.
 */
public final class PortionAllocator {

    private final DaemonId mOwn;
    private final BudgetSettings mSettings;
    private final Map<TeamId, TokenBucket> mBuckets = new HashMap<>();
    private final Map<Requester, Portion> mLastPortions = new HashMap<>();
    private Instant mReservedUntil = Instant.MIN;
    private Instant mOwnFrom = Instant.MIN;
    private Instant mOwnUntil = Instant.MIN;

    /**
     * Creates an allocator without a window.
     *
     * @param own this daemon
     * @param settings the settings of the budget protocol
     */
    public PortionAllocator(final DaemonId own, final BudgetSettings settings) {
        mOwn = Objects.requireNonNull(own, "own");
        mSettings = Objects.requireNonNull(settings, "settings");
    }

    /**
     * Sets the rate of each team.
     *
     * @param rates the rates of all teams
     * @param now the current time
     */
    public void ratesChanged(final List<TeamRate> rates, final Instant now) {
        final Map<TeamId, Long> byTeam = new HashMap<>();
        rates.forEach(rate -> byTeam.put(rate.team(), rate.tokensPerSecond()));
        mBuckets.keySet().retainAll(byTeam.keySet());
        final Instant from = now.isAfter(mOwnFrom) ? now : mOwnFrom;
        byTeam.forEach(
                (team, rate) ->
                        mBuckets.computeIfAbsent(
                                        team, key -> new TokenBucket(mSettings.burst(), from))
                                .setRate(rate, earlier(now, mOwnUntil)));
    }

    /**
     * Returns the window to append to the log now; called while this daemon is to be the holder.
     *
     * @param now the current time
     * @return the window, or empty if at least half of the current one is left
     */
    public Optional<GrantWindow> nextWindow(final Instant now) {
        final Instant renewAt = mOwnUntil.equals(Instant.MIN) ? now : mOwnUntil.minus(halfWindow());
        if (now.isBefore(renewAt)) {
            return Optional.empty();
        }
        final Instant from = now.isAfter(mReservedUntil) ? now : mReservedUntil;
        return Optional.of(new GrantWindow(mOwn, from, now.plus(mSettings.window())))
                .filter(window -> window.until().isAfter(window.from()));
    }

    /**
     * Applies a window of any daemon from the log, in log order.
     *
     * <p>When two daemons append windows concurrently, the part that an earlier record reserved is
     * cut off, so the tokens of one moment are never granted twice.
     *
     * @param window the window
     */
    public void applyWindow(final GrantWindow window) {
        final Instant from =
                window.from().isBefore(mReservedUntil) ? mReservedUntil : window.from();
        if (!window.until().isAfter(from)) {
            return;
        }
        mReservedUntil = window.until();
        if (!window.holder().equals(mOwn)) {
            return;
        }
        if (!from.equals(mOwnUntil)) {
            mOwnFrom = from;
            mLastPortions.clear();
            mBuckets.values().forEach(bucket -> bucket.restart(from));
        }
        mOwnUntil = window.until();
    }

    /**
     * Grants a portion.
     *
     * <p>The last portion of each daemon and team is kept, so a request that is repeated after a
     * lost or duplicated message gets the same portion and is charged once.
     *
     * @param request the request of a daemon
     * @param now the current time
     * @return the portion, of 0 tokens if the budget is spent; empty if this daemon holds no window
     *     now or the request is outdated
     */
    public Optional<Portion> grant(final PortionRequest request, final Instant now) {
        if (now.isBefore(mOwnFrom) || !now.isBefore(mOwnUntil)) {
            return Optional.empty();
        }
        final Requester requester = new Requester(request.daemon(), request.team());
        final Portion last = mLastPortions.get(requester);
        if (last != null && last.number() >= request.number()) {
            return Optional.of(last).filter(portion -> portion.number() == request.number());
        }
        final Portion portion =
                new Portion(
                        request.team(),
                        request.number(),
                        take(request, now),
                        now.plus(mSettings.portionLife()));
        mLastPortions.put(requester, portion);
        return Optional.of(portion);
    }

    /**
     * Removes the tokens of a portion: at most half of the bucket unless the requester needs more,
     * so that other daemons get tokens as well.
     *
     * <p>A request larger than the bucket would always be refused, so a full bucket serves it in
     * advance and refills before the next portion.
     */
    private long take(final PortionRequest request, final Instant now) {
        final TokenBucket bucket = mBuckets.get(request.team());
        if (bucket == null) {
            return 0;
        }
        bucket.refill(now);
        final long available = bucket.available();
        if (available < Math.max(1, request.least()) && !bucket.isFull()) {
            return 0;
        }
        final long tokens = Math.min(request.wanted(), Math.max(request.least(), available / 2));
        bucket.take(tokens);
        return tokens;
    }

    private Duration halfWindow() {
        return mSettings.window().dividedBy(2);
    }

    private static Instant earlier(final Instant one, final Instant other) {
        return one.isBefore(other) ? one : other;
    }

    /** A daemon that requests portions of a team. */
    private record Requester(DaemonId daemon, TeamId team) {}
}
