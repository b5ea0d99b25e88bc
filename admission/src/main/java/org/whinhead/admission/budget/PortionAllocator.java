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
 * The holder's side: gives portions out of the income of the windows that it has reserved on the
 * log.
 *
 * <p>Guards against double spending across holders: a holder gives out only the income of its own
 * windows, and windows never overlap, since each begins no earlier than the end of the one before
 * it in log order. A holder that was paused past its window finds that the window is over and gives
 * nothing; a new holder starts empty at the end of the last window, whatever was given out of it.
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
     * Makes a holder without any window.
     *
     * @param own this daemon
     * @param settings times and shares
     */
    public PortionAllocator(final DaemonId own, final BudgetSettings settings) {
        mOwn = Objects.requireNonNull(own, "own");
        mSettings = Objects.requireNonNull(settings, "settings");
    }

    /**
     * Sets what each team may spend.
     *
     * @param rates every team
     * @param now the time
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
     * Returns the window to append to the log now, while this daemon is to be the holder.
     *
     * @param now the time
     * @return the window, or empty if the own one is good for long enough
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
     * Takes a window from the log, of this daemon or another one, in log order.
     *
     * <p>Guards against windows of two daemons that raced: the part that an earlier record already
     * reserved is cut off, so the same moment is never given out twice.
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
            mBuckets.values().forEach(income -> income.restart(from));
        }
        mOwnUntil = window.until();
    }

    /**
     * Answers a daemon's question.
     *
     * <p>Guards against lost and doubled questions and answers: the last portion of each daemon and
     * team is remembered, so the same question gets the same portion and costs nothing more.
     *
     * @param request the question
     * @param now the time
     * @return the portion, of 0 tokens if the budget is spent; empty if this daemon holds no window
     *     now or the question is an old one
     */
    public Optional<Portion> grant(final PortionRequest request, final Instant now) {
        if (now.isBefore(mOwnFrom) || !now.isBefore(mOwnUntil)) {
            return Optional.empty();
        }
        final Requester asker = new Requester(request.daemon(), request.team());
        final Portion last = mLastPortions.get(asker);
        if (last != null && last.number() >= request.number()) {
            return Optional.of(last).filter(portion -> portion.number() == request.number());
        }
        final Portion portion =
                new Portion(
                        request.team(),
                        request.number(),
                        take(request, now),
                        now.plus(mSettings.portionLife()));
        mLastPortions.put(asker, portion);
        return Optional.of(portion);
    }

    /**
     * Gives at most half of what is there, so that one daemon leaves something for the next.
     *
     * <p>Guards against a request that is larger than all that a team may save up: it would be
     * refused for ever. A full income gives it ahead of time and earns it back before the next.
     */
    private long take(final PortionRequest request, final Instant now) {
        final TokenBucket income = mBuckets.get(request.team());
        if (income == null) {
            return 0;
        }
        income.refill(now);
        final long available = income.available();
        if (available < Math.max(1, request.least()) && !income.isFull()) {
            return 0;
        }
        final long tokens = Math.min(request.wanted(), Math.max(request.least(), available / 2));
        income.take(tokens);
        return tokens;
    }

    private Duration halfWindow() {
        return mSettings.window().dividedBy(2);
    }

    private static Instant earlier(final Instant one, final Instant other) {
        return one.isBefore(other) ? one : other;
    }

    /** Who asked for which team. */
    private record Requester(DaemonId daemon, TeamId team) {}
}
