package org.whinhead.admission;

import java.time.Instant;
import org.whinhead.api.model.TeamId;
import org.whinhead.api.request.RequestId;

/** Asked before a request is admitted, and told what it used. */
public interface Budget {

    /** Lets everything pass. */
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
     * @param team whose budget it is
     * @param tokens the most that it may generate
     * @param now the time
     * @return whether they are reserved, may come soon, or are refused
     */
    BudgetDecision reserve(RequestId request, TeamId team, long tokens, Instant now);

    /**
     * Gives back what a request reserved and did not use.
     *
     * @param request the request
     * @param usedTokens what it generated; 0 if it was not run
     * @param now the time
     */
    void settle(RequestId request, long usedTokens, Instant now);
}
