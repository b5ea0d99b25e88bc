package org.whinhead.requests;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.whinhead.api.Arguments;
import org.whinhead.api.request.RequestId;

/** Keeps the latest decisions in a ring buffer; confined to the coordinator's thread. */
public final class DecisionLog {

    private final Decision[] mRing;
    private long mWritten;

    /**
     * Creates an empty log.
     *
     * @param capacity the maximum number of decisions kept, at least 1
     */
    public DecisionLog(final int capacity) {
        Arguments.requireAtLeast(capacity, 1, "capacity");
        mRing = new Decision[capacity];
    }

    /**
     * Returns the decisions about a request that the buffer still holds, oldest first.
     *
     * @param request the ID of the request
     * @return the decisions about the request
     */
    public List<Decision> findByRequest(final RequestId request) {
        return findMatching(request::equals);
    }

    /**
     * Returns the decisions still in the buffer about all requests with a name, oldest first.
     *
     * @param name a request ID, or the part of it after a slash
     * @return the decisions about the requests
     */
    public List<Decision> findByName(final String name) {
        return findMatching(id -> id.value().equals(name) || id.value().endsWith("/" + name));
    }

    private List<Decision> findMatching(final Predicate<RequestId> wanted) {
        final List<Decision> found = new ArrayList<>();
        final long oldest = Math.max(0, mWritten - mRing.length);
        for (long position = oldest; position < mWritten; position++) {
            final Decision decision = mRing[(int) (position % mRing.length)];
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

    /** Records an ignored event of an ended attempt; omits tokens, which would fill the buffer. */
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
