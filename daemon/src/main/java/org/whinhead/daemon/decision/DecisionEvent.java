package org.whinhead.daemon.decision;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.verdict.ErrorCode;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.api.verdict.Verdict;
import org.whinhead.daemon.request.LiveRequest;
import org.whinhead.daemon.request.LiveRequests;
import org.whinhead.requests.AttemptEvent;
import org.whinhead.requests.ClaimOutcome;
import org.whinhead.requests.RequestCoordinator;
import org.whinhead.requests.Ticket;

/** An event that the decision loop applies to the coordinator. */
public sealed interface DecisionEvent {

    /**
     * Applies the event to the coordinator.
     *
     * @param coordinator the coordinator
     * @param requests the requests in progress
     * @param now the current time
     */
    void applyTo(RequestCoordinator coordinator, LiveRequests requests, Instant now);

    /**
     * The whole body of a new request was read.
     *
     * @param request the request
     */
    record Arrived(LiveRequest request) implements DecisionEvent {
        private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

        @Override
        public void applyTo(
                final RequestCoordinator coordinator,
                final LiveRequests requests,
                final Instant now) {
            if (!requests.add(request)) {
                request.reply().refuse(inProgress());
                return;
            }
            if (!coordinator.submit(request.spec(), now)) {
                requests.remove(request);
                request.reply().refuse(inProgress());
            }
        }

        private static Refusal inProgress() {
            return new Refusal(
                    ErrorCode.ALREADY_CLAIMED,
                    Verdict.MAY_HAVE_RUN,
                    "it is in progress here",
                    Optional.of(RETRY_AFTER));
        }
    }

    /**
     * A caller requested the rest of an answer. The answer continues over the new connection, also
     * if this daemon still answers the request over the former one.
     *
     * @param request the request, created from the repeated body
     * @param ticket the ticket, which names the answer's attempt, endpoint and stream
     * @param deliveredTokens the number of tokens that the caller already has
     * @param deliveredText the text of these tokens
     */
    record ResumeRequested(
            LiveRequest request, Ticket ticket, long deliveredTokens, String deliveredText)
            implements DecisionEvent {
        @Override
        public void applyTo(
                final RequestCoordinator coordinator,
                final LiveRequests requests,
                final Instant now) {
            requests.replace(request);
            coordinator.resume(request.spec(), ticket, deliveredTokens, deliveredText, now);
        }
    }

    /**
     * A caller disconnected. The event follows the one that added the request, and has no effect if
     * the request was resumed over another connection since.
     *
     * @param request the caller's request
     */
    record CallerLeft(LiveRequest request) implements DecisionEvent {
        @Override
        public void applyTo(
                final RequestCoordinator coordinator,
                final LiveRequests requests,
                final Instant now) {
            if (requests.remove(request)) {
                coordinator.onCallerDisconnected(request.spec().id(), now);
            }
        }
    }

    /**
     * An attempt reported an event.
     *
     * @param event the event
     */
    record AttemptReported(AttemptEvent event) implements DecisionEvent {
        /** Creates an event. */
        public AttemptReported {
            Objects.requireNonNull(event, "event");
        }

        @Override
        public void applyTo(
                final RequestCoordinator coordinator,
                final LiveRequests requests,
                final Instant now) {
            coordinator.onAttemptEvent(event, now);
        }
    }

    /**
     * A claim was decided.
     *
     * @param request the request
     * @param outcome the decision
     * @param dispatchBy the time by which a granted request must be dispatched
     */
    record ClaimDecided(RequestId request, ClaimOutcome outcome, Instant dispatchBy)
            implements DecisionEvent {
        @Override
        public void applyTo(
                final RequestCoordinator coordinator,
                final LiveRequests requests,
                final Instant now) {
            // After a pause between the decision and this event, the key may have been granted to
            // another request: an expired grant counts as none, and the request does not run.
            final boolean isExpired = outcome == ClaimOutcome.GRANTED && !now.isBefore(dispatchBy);
            coordinator.onClaimDecided(
                    request, isExpired ? ClaimOutcome.UNAVAILABLE : outcome, now);
        }
    }

    /**
     * The departure of an endpoint was announced.
     *
     * @param endpoint the endpoint
     * @param goneBy the time at which the endpoint stops answering
     */
    record EndpointLeaving(EndpointId endpoint, Instant goneBy) implements DecisionEvent {
        @Override
        public void applyTo(
                final RequestCoordinator coordinator,
                final LiveRequests requests,
                final Instant now) {
            coordinator.onEndpointLeaving(endpoint, goneBy, now);
        }
    }

    /**
     * The daemon begins its shutdown.
     *
     * @param goneBy the time at which the daemon stops answering
     */
    record Stopping(Instant goneBy) implements DecisionEvent {
        @Override
        public void applyTo(
                final RequestCoordinator coordinator,
                final LiveRequests requests,
                final Instant now) {
            coordinator.beginShutdown(goneBy, now);
        }
    }

    /** A periodic tick, for deadlines and timeouts. */
    record Tick() implements DecisionEvent {
        @Override
        public void applyTo(
                final RequestCoordinator coordinator,
                final LiveRequests requests,
                final Instant now) {
            coordinator.tick(now);
        }
    }

    /**
     * A task from another thread, run on the decision thread between two decisions, for example the
     * installation of a new view.
     *
     * @param action the code to run; must not block
     */
    record Task(Runnable action) implements DecisionEvent {
        @Override
        public void applyTo(
                final RequestCoordinator coordinator,
                final LiveRequests requests,
                final Instant now) {
            action.run();
        }
    }
}
