package org.whinhead.serving.admission;

import java.time.Duration;
import java.time.Instant;

/**
 * What is done with a request.
 *
 * @param action whether it is placed, waits or is refused
 * @param checkAt the latest time of the next check if it waits; otherwise the time of the decision
 * @param retryAfter the time after which a refused request may succeed; otherwise zero
 * @param reason why a request is refused; otherwise empty
 */
public record AdmissionDecision(
        Action action, Instant checkAt, Duration retryAfter, String reason) {

    /** The possible decisions. */
    public enum Action {
        /** The request is sent to an endpoint now. */
        PLACE,
        /** The request waits at this daemon. */
        WAIT,
        /** The request is refused and certainly does not run. */
        REFUSE
    }

    static AdmissionDecision place(final Instant now) {
        return new AdmissionDecision(Action.PLACE, now, Duration.ZERO, "");
    }

    static AdmissionDecision await(final Instant checkAt) {
        return new AdmissionDecision(Action.WAIT, checkAt, Duration.ZERO, "");
    }

    static AdmissionDecision refuse(
            final Instant now, final Duration retryAfter, final String reason) {
        return new AdmissionDecision(Action.REFUSE, now, retryAfter, reason);
    }
}
