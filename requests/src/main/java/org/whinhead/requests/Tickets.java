package org.whinhead.requests;

import java.time.Instant;
import java.util.Optional;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.api.verdict.ErrorCode;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.api.verdict.Verdict;

/** Issues tickets for streams and takes in the callers that come back with them. */
final class Tickets {

    private static final String NO_STREAM = "";

    private final Wiring mWiring;
    private final Endings mEndings;
    private final AttemptLauncher mLauncher;
    private final Recovery mRecovery;

    Tickets(
            final Wiring wiring,
            final Endings endings,
            final AttemptLauncher launcher,
            final Recovery recovery) {
        mWiring = wiring;
        mEndings = endings;
        mLauncher = launcher;
        mRecovery = recovery;
    }

    /** Gives the caller a ticket for the live attempt's stream. */
    void issue(final RequestState state, final Attempt attempt) {
        final Ticket ticket = ticketFor(state, attempt);
        state.setLastTicket(ticket);
        mWiring.actions().ticket(state.id(), ticket);
    }

    /**
     * Guards against a caller that has part of an answer and nothing to ask for the rest with: the
     * event that names the stream was lost or is late, tokens are delivered, and the daemon dies.
     * So a ticket, if only for the text, goes out before the first token.
     */
    void issueBeforeFirstToken(final RequestState state, final Attempt attempt) {
        if (state.lastTicket().isEmpty()) {
            issue(state, attempt);
        }
    }

    /** Returns a ticket for what there is: the live stream, or only the caller's text. */
    static Optional<Ticket> current(final RequestState state) {
        final Optional<Attempt> live = state.live().filter(Attempt::hasStream);
        if (live.isPresent()) {
            return Optional.of(ticketFor(state, live.get()));
        }
        return state.lastTicket().map(Tickets::withoutStream);
    }

    /** Takes in a caller that came back. */
    void returned(
            final RequestState state,
            final Ticket ticket,
            final Optional<RequestState> former,
            final Instant now) {
        final Ticket latest = former.flatMap(Tickets::current).orElse(ticket);
        former.ifPresent(old -> mEndings.replace(old, now));
        state.addVerdict(Verdict.MAY_HAVE_RUN);
        state.numberAfter(ticket.attempt().number());
        former.ifPresent(old -> state.numberAfter(old.lastNumber()));
        state.setLastTicket(latest);
        mEndings.add(state);
        final long rest = Math.max(0, state.spec().maxTokens() - state.delivered().tokens());
        mWiring.admission().returned(state.spec(), rest, now);
        state.setOffered();
        mWiring.log().add(state, DecisionKind.CALLER_RETURNED, latest.endpoint().value(), now);
        if (state.isLate(now)) {
            mEndings.giveUp(state, ErrorCode.DEADLINE_PASSED, "before the caller came back", now);
        } else {
            goOn(state, latest, now);
        }
    }

    /** Refuses a ticket that is not this caller's; what it names may have run all the same. */
    static Optional<Refusal> check(final RequestSpec spec, final Ticket ticket) {
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

    private void goOn(final RequestState state, final Ticket ticket, final Instant now) {
        final boolean holdsRest =
                mWiring.settings().recovery().keepsWork()
                        && !ticket.streamId().isEmpty()
                        && state.delivered().tokens() >= ticket.indexOffset();
        final Optional<Endpoint> holder =
                holdsRest
                        ? mWiring.router().find(ticket.endpoint(), state.spec(), now)
                        : Optional.empty();
        if (holder.isPresent()) {
            state.setResumeTried(true);
            final String streamId = ticket.streamId();
            mLauncher.resume(state, holder.get(), streamId, ticket.indexOffset(), now);
            return;
        }
        state.setCause(Optional.of(RecoveryCause.CALLER_RETURNED));
        mRecovery.carryOn(state, "no engine holds the stream", now);
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
