package org.whinhead.daemon.log;

import java.time.Instant;
import org.whinhead.api.request.RequestId;
import org.whinhead.requests.ClaimOutcome;

/** Told by the log duty, on its thread; must not block. */
public interface LogListener {

    /**
     * Other settings are in force.
     *
     * @param standing what is known now; the head of the log was reached at least once
     */
    void settingsChanged(LogSnapshot standing);

    /**
     * A claim was decided.
     *
     * @param request the request
     * @param outcome the decision
     * @param dispatchBy until when a granted request may be dispatched
     */
    void claimDecided(RequestId request, ClaimOutcome outcome, Instant dispatchBy);
}
