package org.whinhead.admission.budget;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.whinhead.admission.Budget;
import org.whinhead.admission.BudgetDecision;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.TeamId;
import org.whinhead.api.request.RequestId;

/**
 * A budget without any message: each daemon spends at most the team's rate divided by the number of
 * live daemons that it knows.
 *
 * <p>With rate r, burst B, largest request m and N daemons that all know N, one daemon reserves in
 * any T seconds at most {@code r / N * (T + B) + m} tokens and all together at most {@code r * (T +
 * B) + N * m}. A daemon that starts brings a full burst, {@code r / N * B}. While daemons know
 * different numbers, each of them keeps to its own.
 */
public final class EvenShareBudget implements Budget {

    private final Duration mBurst;
    private final Duration mUnknownTeamRetryAfter;
    private final Map<TeamId, TokenBucket> mBuckets = new HashMap<>();
    private final Map<RequestId, Reservation> mReservations = new HashMap<>();

    /**
     * Makes a budget that knows no team yet.
     *
     * @param settings the burst, and the time to come back where no team is known
     */
    public EvenShareBudget(final BudgetSettings settings) {
        mBurst = settings.burst();
        mUnknownTeamRetryAfter = settings.portionLife();
    }

    /**
     * Sets what each team may spend and how many daemons share it.
     *
     * @param rates every team
     * @param daemons the number of live daemons
     * @param now the time
     */
    public void ratesChanged(final List<TeamRate> rates, final int daemons, final Instant now) {
        Arguments.requireAtLeast(daemons, 1, "daemons");
        final Map<TeamId, TokenBucket> kept = new HashMap<>();
        for (final TeamRate rate : rates) {
            final TokenBucket known = mBuckets.get(rate.team());
            final TokenBucket income = known == null ? new TokenBucket(mBurst, now) : known;
            income.setRate((double) rate.tokensPerSecond() / daemons, now);
            if (known == null) {
                income.fill();
            }
            kept.put(rate.team(), income);
        }
        mBuckets.clear();
        mBuckets.putAll(kept);
    }

    /**
     * Reserves tokens, or tells when there are enough.
     *
     * <p>Guards against a request that is larger than the burst and would be refused for ever: it
     * is paid ahead by a full income, which then is in debt.
     */
    @Override
    public BudgetDecision reserve(
            final RequestId request, final TeamId team, final long tokens, final Instant now) {
        if (mReservations.containsKey(request)) {
            return BudgetDecision.RESERVED;
        }
        final TokenBucket income = mBuckets.get(team);
        if (income == null) {
            return BudgetDecision.refused(mUnknownTeamRetryAfter);
        }
        income.refill(now);
        if (income.available() < tokens && !income.isFull()) {
            return BudgetDecision.refused(income.timeUntil(tokens));
        }
        income.take(tokens);
        mReservations.put(request, new Reservation(team, tokens));
        return BudgetDecision.RESERVED;
    }

    @Override
    public void settle(final RequestId request, final long usedTokens, final Instant now) {
        final Reservation reservation = mReservations.remove(request);
        final TokenBucket income = reservation == null ? null : mBuckets.get(reservation.team());
        if (income != null) {
            income.refill(now);
            income.giveBack(Math.max(0, reservation.tokens() - usedTokens));
        }
    }

    /** Tokens kept for one request. */
    private record Reservation(TeamId team, long tokens) {
        Reservation {
            Objects.requireNonNull(team, "team");
        }
    }
}
