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

/** What the decision thread is told. */
public sealed interface DecisionEvent {

    /**
     * Passes the event to the coordinator.
     *
     * @param coordinator the coordinator
     * @param requests the requests in progress
     * @param now the time
     */
    void applyTo(RequestCoordinator coordinator, LiveRequests requests, Instant now);

    /**
     * A new request was read whole.
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
     * A caller came back for the rest of an answer. From here on the answer goes over the new
     * connection, also if the request is still in progress here for the former one.
     *
     * @param request the request, rebuilt from the repeated body
     * @param ticket where the answer was being made
     * @param haveTokens how many tokens the caller already has
     * @param haveText their text
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
     * A caller hung up. Comes after the event that brought its request, so a request that has come
     * back over another connection since is not touched.
     *
     * @param request its request
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
     * Something happened to an attempt.
     *
     * @param event what happened
     */
    record AttemptReported(AttemptEvent event) implements DecisionEvent {
        /** Checks the event. */
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
     * @param dispatchBy until when a granted request may be dispatched
     */
    record ClaimDecided(RequestId request, ClaimOutcome outcome, Instant dispatchBy)
            implements DecisionEvent {
        @Override
        public void applyTo(
                final RequestCoordinator coordinator,
                final LiveRequests requests,
                final Instant now) {
            // Guards against a pause between the decision and this event, after which the key may
            // have been given anew: a grant that is over is none, and the request does not run.
            final boolean over = outcome == ClaimOutcome.GRANTED && !now.isBefore(dispatchBy);
            coordinator.onClaimDecided(request, over ? ClaimOutcome.UNAVAILABLE : outcome, now);
        }
    }

    /**
     * An endpoint was announced to leave.
     *
     * @param endpoint the endpoint
     * @param goneBy when it stops answering
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
     * The daemon was told to stop.
     *
     * @param goneBy when it stops answering
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

    /** Time passed. */
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
     * Work of another duty that must happen between two decisions, for example a new view.
     *
     * @param work the work; it must not block
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
