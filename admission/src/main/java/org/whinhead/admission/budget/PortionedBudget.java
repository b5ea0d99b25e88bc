package org.whinhead.admission.budget;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.whinhead.admission.Budget;
import org.whinhead.admission.BudgetDecision;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.model.TeamId;
import org.whinhead.api.request.RequestId;

/**
 * A budget that reserves tokens from portions of the budget holder and requests the next portion in
 * advance. While the holder is unavailable, it spends the rest and then part of its even share.
 *
 * <p>With rate r, burst B, portion life E, largest request m, even share f, N daemons, h changes of
 * the holder and k daemons cut off from it for t seconds, all daemons together reserve in any T
 * seconds at most {@code r * (T + B + E) + (1 + h) * m + f * r * k / N * (t + B)} tokens.
 */
public final class PortionedBudget implements Budget {

    private final DaemonId mOwn;
    private final BudgetSettings mSettings;
    private final Map<TeamId, TeamPortions> mTeams = new HashMap<>();
    private final Map<RequestId, Reservation> mReservations = new HashMap<>();

    /**
     * Creates a budget without portions.
     *
     * @param own this daemon
     * @param settings the settings of the budget protocol
     */
    public PortionedBudget(final DaemonId own, final BudgetSettings settings) {
        mOwn = Objects.requireNonNull(own, "own");
        mSettings = Objects.requireNonNull(settings, "settings");
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
        final Map<TeamId, TeamPortions> kept = new HashMap<>();
        for (final TeamRate rate : rates) {
            final TeamPortions known = mTeams.get(rate.team());
            final TeamPortions portions = known == null ? new TeamPortions(mSettings, now) : known;
            portions.setEvenRate((double) rate.tokensPerSecond() / daemons, now);
            kept.put(rate.team(), portions);
        }
        mTeams.clear();
        mTeams.putAll(kept);
    }

    @Override
    public BudgetDecision reserve(
            final RequestId request, final TeamId team, final long tokens, final Instant now) {
        if (mReservations.containsKey(request)) {
            return BudgetDecision.RESERVED;
        }
        final TeamPortions portions = mTeams.get(team);
        if (portions == null) {
            return BudgetDecision.refused(mSettings.portionLife());
        }
        final Instant expires = portions.take(tokens, now);
        if (expires != null) {
            mReservations.put(request, new Reservation(team, tokens, expires));
            return BudgetDecision.RESERVED;
        }
        return portions.canWait(now)
                ? BudgetDecision.PENDING
                : BudgetDecision.refused(retryAfter());
    }

    @Override
    public void settle(final RequestId request, final long usedTokens, final Instant now) {
        final Reservation reservation = mReservations.remove(request);
        final TeamPortions portions = reservation == null ? null : mTeams.get(reservation.team());
        if (portions != null) {
            portions.giveBack(reservation.tokens() - usedTokens, reservation.expires(), now);
        }
    }

    /**
     * Returns the requests to send to the holder now; to be called often.
     *
     * @param now the current time
     * @return new requests and unanswered ones to resend
     */
    public List<PortionRequest> portionRequests(final Instant now) {
        final List<PortionRequest> requests = new ArrayList<>();
        mTeams.forEach(
                (team, portions) -> {
                    final TeamPortions.PendingRequest pending = portions.nextRequest(now);
                    if (pending != null) {
                        requests.add(
                                new PortionRequest(
                                        mOwn,
                                        team,
                                        pending.number(),
                                        pending.least(),
                                        pending.wanted()));
                    }
                });
        return requests;
    }

    /**
     * Adds a portion that the holder sent.
     *
     * @param portion the portion
     * @param now the current time
     */
    public void portionReceived(final Portion portion, final Instant now) {
        final TeamPortions portions = mTeams.get(portion.team());
        if (portions != null) {
            portions.portionReceived(portion, now);
        }
    }

    private Duration retryAfter() {
        return mSettings.resendInterval().multipliedBy(2);
    }

    /** The tokens reserved for one request. */
    private record Reservation(TeamId team, long tokens, Instant expires) {}
}
