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
 * The daemon's side: spends from portions, asks for the next early, and while the holder is away
 * spends what is left and then part of its even share.
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
     * Makes a ledger without any portion.
     *
     * @param own this daemon
     * @param settings times and shares
     */
    public PortionedBudget(final DaemonId own, final BudgetSettings settings) {
        mOwn = Objects.requireNonNull(own, "own");
        mSettings = Objects.requireNonNull(settings, "settings");
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
        final Map<TeamId, TeamPortions> kept = new HashMap<>();
        for (final TeamRate rate : rates) {
            final TeamPortions old = mTeams.get(rate.team());
            final TeamPortions purse = old == null ? new TeamPortions(mSettings, now) : old;
            purse.setEvenRate((double) rate.tokensPerSecond() / daemons, now);
            kept.put(rate.team(), purse);
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
        final TeamPortions purse = mTeams.get(team);
        if (purse == null) {
            return BudgetDecision.refused(mSettings.portionLife());
        }
        final Instant expires = purse.take(tokens, now);
        if (expires != null) {
            mReservations.put(request, new Reservation(team, tokens, expires));
            return BudgetDecision.RESERVED;
        }
        return purse.canWait(now) ? BudgetDecision.PENDING : BudgetDecision.refused(retryAfter());
    }

    @Override
    public void settle(final RequestId request, final long usedTokens, final Instant now) {
        final Reservation reservation = mReservations.remove(request);
        final TeamPortions purse = reservation == null ? null : mTeams.get(reservation.team());
        if (purse != null) {
            purse.giveBack(reservation.tokens() - usedTokens, reservation.expires(), now);
        }
    }

    /**
     * Returns the questions to send to the holder now; call often.
     *
     * @param now the time
     * @return the questions, new and repeated
     */
    public List<PortionRequest> portionRequests(final Instant now) {
        final List<PortionRequest> questions = new ArrayList<>();
        mTeams.forEach(
                (team, purse) -> {
                    final TeamPortions.PendingRequest question = purse.nextRequest(now);
                    if (question != null) {
                        questions.add(
                                new PortionRequest(
                                        mOwn,
                                        team,
                                        question.number(),
                                        question.least(),
                                        question.wanted()));
                    }
                });
        return questions;
    }

    /**
     * Takes the holder's answer.
     *
     * @param portion the portion
     * @param now the time
     */
    public void portionReceived(final Portion portion, final Instant now) {
        final TeamPortions purse = mTeams.get(portion.team());
        if (purse != null) {
            purse.portionReceived(portion, now);
        }
    }

    private Duration retryAfter() {
        return mSettings.resendInterval().multipliedBy(2);
    }

    /** Tokens kept for one request. */
    private record Reservation(TeamId team, long tokens, Instant expires) {}
}
