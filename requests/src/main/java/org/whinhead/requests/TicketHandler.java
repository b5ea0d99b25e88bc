package org.whinhead.requests;

import java.time.Instant;
import java.util.Optional;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.api.verdict.ErrorCode;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.api.verdict.Verdict;

/** Issues tickets for streams and continues the answers of callers that return with them. */
final class TicketHandler {

    private static final String NO_STREAM = "";

    private final CoordinatorContext mContext;
    private final ActiveRequests mActiveRequests;
    private final AttemptLauncher mLauncher;
    private final Recovery mRecovery;

    TicketHandler(
            final CoordinatorContext context,
            final ActiveRequests activeRequests,
            final AttemptLauncher launcher,
            final Recovery recovery) {
        mContext = context;
        mActiveRequests = activeRequests;
        mLauncher = launcher;
        mRecovery = recovery;
    }

    /** Sends the caller a ticket for the live attempt's stream. */
    void issue(final RequestState state, final Attempt attempt) {
        final Ticket ticket = ticketFor(state, attempt);
        state.setLastTicket(ticket);
        mContext.actions().ticket(state.id(), ticket);
    }

    /**
     * Issues a ticket, possibly only for the text, before the first token is delivered.
     *
     * <p>Guards against a caller with a partial answer and no ticket: the event with the stream ID
     * was lost or is late, tokens are delivered, and the daemon crashes.
     */
    void issueBeforeFirstToken(final RequestState state, final Attempt attempt) {
        if (state.lastTicket().isEmpty()) {
            issue(state, attempt);
        }
    }

    /** Returns a ticket for the live stream or, without one, only for the caller's text. */
    static Optional<Ticket> currentTicket(final RequestState state) {
        final Optional<Attempt> live = state.live().filter(Attempt::hasStream);
        if (live.isPresent()) {
            return Optional.of(ticketFor(state, live.get()));
        }
        return state.lastTicket().map(TicketHandler::withoutStream);
    }

    /** Continues the answer of a caller that returned with a ticket. */
    void handleReturn(
            final RequestState state,
            final Ticket ticket,
            final Optional<RequestState> former,
            final Instant now) {
        final Ticket latest = former.flatMap(TicketHandler::currentTicket).orElse(ticket);
        former.ifPresent(old -> mActiveRequests.supersede(old, now));
        state.addVerdict(Verdict.MAY_HAVE_RUN);
        state.skipAttemptNumbers(ticket.attempt().number());
        former.ifPresent(old -> state.skipAttemptNumbers(old.lastAttemptNumber()));
        state.setLastTicket(latest);
        mActiveRequests.add(state);
        final long rest = Math.max(0, state.spec().maxTokens() - state.delivered().tokens());
        mContext.admission().resume(state.spec(), rest, now);
        state.setOffered();
        mContext.log().add(state, DecisionKind.CALLER_RETURNED, latest.endpoint().value(), now);
        if (state.isPastDeadline(now)) {
            mActiveRequests.giveUp(
                    state, ErrorCode.DEADLINE_PASSED, "before the caller came back", now);
        } else {
            resumeOrRedispatch(state, latest, now);
        }
    }

    /** Returns a refusal if a ticket does not match the request; its own request may have run. */
    static Optional<Refusal> validate(final RequestSpec spec, final Ticket ticket) {
        final boolean fits =
                ticket.attempt().request().equals(spec.id())
                        && ticket.customer().equals(spec.customer())
                        && ticket.idempotent() == spec.idempotent()
                        && spec.kind().isStreaming();
        return fits
                ? Optional.empty()
                : Optional.of(
                        new Refusal(
                                ErrorCode.BAD_TICKET,
                                Verdict.MAY_HAVE_RUN,
                                "it belongs to another request",
                                Optional.empty()));
    }

    private void resumeOrRedispatch(
            final RequestState state, final Ticket ticket, final Instant now) {
        final boolean holdsRest =
                mContext.settings().recovery().keepsWork()
                        && !ticket.streamId().isEmpty()
                        && state.delivered().tokens() >= ticket.indexOffset();
        final Optional<Endpoint> holder =
                holdsRest
                        ? mContext.router().dispatchTo(ticket.endpoint(), state.spec(), now)
                        : Optional.empty();
        if (holder.isPresent()) {
            state.setResumeTried(true);
            final String streamId = ticket.streamId();
            mLauncher.resume(state, holder.get(), streamId, ticket.indexOffset(), now);
            return;
        }
        state.setCause(Optional.of(RecoveryCause.CALLER_RETURNED));
        mRecovery.redispatchIfAllowed(state, "no engine holds the stream", now);
    }

    private static Ticket ticketFor(final RequestState state, final Attempt attempt) {
        return new Ticket(
                attempt.id(),
                state.spec().customer(),
                attempt.endpoint().id(),
                attempt.streamId(),
                attempt.firstIndex(),
                state.spec().idempotent(),
                state.deadline());
    }

    private static Ticket withoutStream(final Ticket ticket) {
        return new Ticket(
                ticket.attempt(),
                ticket.customer(),
                ticket.endpoint(),
                NO_STREAM,
                0,
                ticket.idempotent(),
                ticket.deadline());
    }
}
