package org.whinhead.daemon.log;

import java.time.Instant;
import org.whinhead.api.request.RequestId;
import org.whinhead.requests.ClaimOutcome;

/** Receives settings and claim decisions on the log thread; must not block. */
public interface LogListener {

    /**
     * Handles a change of the settings in force.
     *
     * @param snapshot the state read from the log, whose head was reached at least once
     */
    void settingsChanged(LogSnapshot snapshot);

    /**
     * Handles the decision on a claim.
     *
     * @param request the request
     * @param outcome the decision
     * @param dispatchBy the latest time at which a granted request may be dispatched
     */
    void claimDecided(RequestId request, ClaimOutcome outcome, Instant dispatchBy);
}
