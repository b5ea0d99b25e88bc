package org.whinhead.requests;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.api.verdict.ErrorCode;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.api.verdict.Verdict;

/**
 * Lets a daemon stop without cutting a request: no new ones, and those that are not done shortly
 * before the end are sent away with what they need to go on elsewhere.
 */
final class Shutdown {

    private static final String DETAIL = "the rest is to be had from another daemon";

    private final Wiring mWiring;
    private final Endings mEndings;
    private Optional<Instant> mGoneBy = Optional.empty();

    Shutdown(final Wiring wiring, final Endings endings) {
        mWiring = wiring;
        mEndings = endings;
    }

    /** Notes the end; of several announcements the earliest counts. */
    void begin(final Instant goneBy) {
        final Instant earliest = mGoneBy.filter(known -> known.isBefore(goneBy)).orElse(goneBy);
        mGoneBy = Optional.of(earliest);
    }

    /** Returns the refusal for a caller that comes now, if the daemon is stopping. */
    Optional<Refusal> refusal(final Verdict verdict) {
        return mGoneBy.map(goneBy -> refusalOf(verdict));
    }

    /** Sends callers away whose time has come. */
    void tick(final Instant now) {
        if (mGoneBy.isEmpty()) {
            return;
        }
        final Duration margin = mWiring.settings().stopMargin();
        for (final RequestState state : mEndings.all()) {
            final Duration left = mayOnlyEndHere(state) ? margin.dividedBy(2) : margin;
            if (!now.isBefore(mGoneBy.get().minus(left))) {
                sendAway(state, now);
            }
        }
    }

    /** Tells whether a request has no way to go on elsewhere, so that it is given more time. */
    private static boolean mayOnlyEndHere(final RequestState state) {
        final RequestSpec spec = state.spec();
        return !spec.idempotent() && !spec.kind().isStreaming() && state.live().isPresent();
    }

    private void sendAway(final RequestState state, final Instant now) {
        final boolean runs = state.live().isPresent() || state.move().isPresent();
        if (runs) {
            state.addVerdict(Verdict.MAY_HAVE_RUN);
        }
        final Optional<Ticket> ticket = Tickets.current(state);
        if (ticket.isPresent()) {
            mEndings.handBack(state, ticket.get(), refusalOf(Verdict.MAY_HAVE_RUN), now);
        } else {
            mEndings.giveUp(state, ErrorCode.STOPPING, DETAIL, now);
        }
    }

    private Refusal refusalOf(final Verdict verdict) {
        final Optional<Duration> after = Optional.of(mWiring.settings().comeBackAfter());
        return new Refusal(ErrorCode.STOPPING, verdict, DETAIL, after);
    }
}
