package org.whinhead.admission;

import java.time.Instant;
import org.whinhead.api.model.TeamId;
import org.whinhead.api.request.RequestId;

/** Reserves tokens of a team for a request before admission and settles them afterwards. */
public interface Budget {

    /** A budget without limits. */
    Budget UNLIMITED =
            new Budget() {
                @Override
                public BudgetDecision reserve(
                        final RequestId request,
                        final TeamId team,
                        final long tokens,
                        final Instant now) {
                    return BudgetDecision.RESERVED;
                }

                @Override
                public void settle(
                        final RequestId request, final long usedTokens, final Instant now) {
                    // Nothing was reserved.
                }
            };

    /**
     * Reserves tokens for a request.
     *
     * @param request the request
     * @param team the team whose budget is charged
     * @param tokens the maximum number of tokens that the request may generate
     * @param now the current time
     * @return whether the tokens are reserved, pending or refused
     */
    BudgetDecision reserve(RequestId request, TeamId team, long tokens, Instant now);

    /**
     * Releases the tokens that a request reserved and did not use.
     *
     * @param request the request
     * @param usedTokens the number of generated tokens; 0 if the request was not run
     * @param now the current time
     */
    void settle(RequestId request, long usedTokens, Instant now);
}
