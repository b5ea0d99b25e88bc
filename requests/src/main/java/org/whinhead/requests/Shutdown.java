package org.whinhead.requests;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.api.verdict.ErrorCode;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.api.verdict.Verdict;

/**
 * Stops a daemon without losing requests: refuses new ones, and ends those that are unfinished
 * shortly before the end, with a ticket to continue on another daemon.
 */
final class Shutdown {

    private static final String DETAIL = "the rest is to be had from another daemon";

    private final CoordinatorContext mContext;
    private final ActiveRequests mActiveRequests;
    private Optional<Instant> mGoneBy = Optional.empty();

    Shutdown(final CoordinatorContext context, final ActiveRequests activeRequests) {
        mContext = context;
        mActiveRequests = activeRequests;
    }

    /** Begins the shutdown; of several announced end times, the earliest applies. */
    void begin(final Instant goneBy) {
        final Instant earliest = mGoneBy.filter(known -> known.isBefore(goneBy)).orElse(goneBy);
        mGoneBy = Optional.of(earliest);
    }

    /** Returns the refusal for a new or returning caller, if the daemon is stopping. */
    Optional<Refusal> refusalIfStopping(final Verdict verdict) {
        return mGoneBy.map(goneBy -> refusalOf(verdict));
    }

    /** Ends the requests whose time margin before the end has been reached. */
    void endDueRequests(final Instant now) {
        if (mGoneBy.isEmpty()) {
            return;
        }
        final Duration margin = mContext.settings().stopMargin();
        for (final RequestState state : mActiveRequests.all()) {
            final Duration left = canOnlyFinishHere(state) ? margin.dividedBy(2) : margin;
            if (!now.isBefore(mGoneBy.get().minus(left))) {
                endRequest(state, now);
            }
        }
    }

    /** Returns whether a request cannot continue on another daemon and therefore gets more time. */
    private static boolean canOnlyFinishHere(final RequestState state) {
        final RequestSpec spec = state.spec();
        return !spec.idempotent() && !spec.kind().isStreaming() && state.live().isPresent();
    }

    private void endRequest(final RequestState state, final Instant now) {
        final boolean runs = state.live().isPresent() || state.move().isPresent();
        if (runs) {
            state.addVerdict(Verdict.MAY_HAVE_RUN);
        }
        final Optional<Ticket> ticket = TicketHandler.currentTicket(state);
        if (ticket.isPresent()) {
            mActiveRequests.handBack(state, ticket.get(), refusalOf(Verdict.MAY_HAVE_RUN), now);
        } else {
            mActiveRequests.giveUp(state, ErrorCode.STOPPING, DETAIL, now);
        }
    }

    private Refusal refusalOf(final Verdict verdict) {
        final Optional<Duration> after = Optional.of(mContext.settings().comeBackAfter());
        return new Refusal(ErrorCode.STOPPING, verdict, DETAIL, after);
    }
}
