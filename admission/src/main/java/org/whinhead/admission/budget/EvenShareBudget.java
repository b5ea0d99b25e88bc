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
 * A budget without messages between daemons: each daemon limits a team to its rate divided by the
 * number of live daemons known to that daemon.
 *
 * <p>With rate r, burst B, largest request m and N daemons that all know N, one daemon reserves in
 * any T seconds at most {@code r / N * (T + B) + m} tokens and all together at most {@code r * (T +
 * B) + N * m}. A daemon that starts adds a full burst, {@code r / N * B}. While daemons know
 * different numbers, each uses its own.
 */
public final class EvenShareBudget implements Budget {

    private final Duration mBurst;
    private final Duration mUnknownTeamRetryAfter;
    private final Map<TeamId, TokenBucket> mBuckets = new HashMap<>();
    private final Map<RequestId, Reservation> mReservations = new HashMap<>();

    /**
     * Creates a budget without teams.
     *
     * @param settings the burst, and the portion life as retry delay for unknown teams
     */
    public EvenShareBudget(final BudgetSettings settings) {
        mBurst = settings.burst();
        mUnknownTeamRetryAfter = settings.portionLife();
    }

    /**
     * Sets the rate of each team and the number of daemons that share it.
     *
     * @param rates the rates of all teams
     * @param daemons the number of live daemons, at least 1
     * @param now the current time
     */
    public void ratesChanged(final List<TeamRate> rates, final int daemons, final Instant now) {
        Arguments.requireAtLeast(daemons, 1, "daemons");
        final Map<TeamId, TokenBucket> kept = new HashMap<>();
        for (final TeamRate rate : rates) {
            final TokenBucket known = mBuckets.get(rate.team());
            final TokenBucket bucket = known == null ? new TokenBucket(mBurst, now) : known;
            bucket.setRate((double) rate.tokensPerSecond() / daemons, now);
            if (known == null) {
                bucket.fill();
            }
            kept.put(rate.team(), bucket);
        }
        mBuckets.clear();
        mBuckets.putAll(kept);
    }

    /**
     * Reserves tokens, or refuses with the time until there are enough.
     *
     * <p>A request larger than the burst would always be refused, so a full bucket serves it in
     * advance and then has a negative balance.
     */
    @Override
    public BudgetDecision reserve(
            final RequestId request, final TeamId team, final long tokens, final Instant now) {
        if (mReservations.containsKey(request)) {
            return BudgetDecision.RESERVED;
        }
        final TokenBucket bucket = mBuckets.get(team);
        if (bucket == null) {
            return BudgetDecision.refused(mUnknownTeamRetryAfter);
        }
        bucket.refill(now);
        if (bucket.available() < tokens && !bucket.isFull()) {
            return BudgetDecision.refused(bucket.timeUntil(tokens));
        }
        bucket.take(tokens);
        mReservations.put(request, new Reservation(team, tokens));
        return BudgetDecision.RESERVED;
    }

    @Override
    public void settle(final RequestId request, final long usedTokens, final Instant now) {
        final Reservation reservation = mReservations.remove(request);
        final TokenBucket bucket = reservation == null ? null : mBuckets.get(reservation.team());
        if (bucket != null) {
            bucket.refill(now);
            bucket.giveBack(Math.max(0, reservation.tokens() - usedTokens));
        }
    }

    /** The tokens reserved for one request. */
    private record Reservation(TeamId team, long tokens) {
        Reservation {
            Objects.requireNonNull(team, "team");
        }
    }
}
