package org.whinhead.requests;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.whinhead.api.Arguments;
import org.whinhead.api.request.RequestId;

/** The latest decisions in a ring of fixed size; used by the coordinator's thread alone. */
public final class DecisionLog {

    private final Decision[] mRing;
    private long mWritten;

    /**
     * Makes an empty log.
     *
     * @param capacity how many decisions it keeps
     */
    public DecisionLog(final int capacity) {
        Arguments.requireAtLeast(capacity, 1, "capacity");
        mRing = new Decision[capacity];
    }

    /**
     * Returns what is still kept about a request, oldest first.
     *
     * @param request the request
     * @return its decisions
     */
    public List<Decision> findByRequest(final RequestId request) {
        return findMatching(request::equals);
    }

    /**
     * Returns what is still kept about the requests of a name, oldest first.
     *
     * @param name an identity, or its end after a slash
     * @return their decisions
     */
    public List<Decision> findByName(final String name) {
        return findMatching(id -> id.value().equals(name) || id.value().endsWith("/" + name));
    }

    private List<Decision> findMatching(final Predicate<RequestId> wanted) {
        final List<Decision> found = new ArrayList<>();
        final long oldest = Math.max(0, mWritten - mRing.length);
        for (long place = oldest; place < mWritten; place++) {
            final Decision decision = mRing[(int) (place % mRing.length)];
            if (wanted.test(decision.request())) {
                found.add(decision);
            }
        }
        return found;
    }

    /** Records a decision about a request as a whole. */
    void add(
            final RequestState state,
            final DecisionKind kind,
            final String cause,
            final Instant now) {
        add(new Decision(now, state.id(), 0, kind, Optional.empty(), cause));
    }

    /** Records a decision about one attempt. */
    void add(
            final Attempt attempt, final DecisionKind kind, final String cause, final Instant now) {
        add(
                new Decision(
                        now,
                        attempt.id().request(),
                        attempt.id().number(),
                        kind,
                        Optional.of(attempt.endpoint().id()),
                        cause));
    }

    void add(final Decision decision) {
        mRing[(int) (mWritten % mRing.length)] = decision;
        mWritten++;
    }

    /** Records that an event of an attempt that is over was ignored; tokens would fill the ring. */
    void addLateEvent(final AttemptEvent event, final Instant now) {
        if (event instanceof AttemptEvent.Token) {
            return;
        }
        add(
                new Decision(
                        now,
                        event.attempt().request(),
                        event.attempt().number(),
                        DecisionKind.LATE_EVENT_IGNORED,
                        Optional.empty(),
                        event.getClass().getSimpleName()));
    }
}
