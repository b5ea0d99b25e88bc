package org.whinhead.gateway.exchange;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.whinhead.gateway.stream.StreamIdentifier;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.stream.StreamKey;
import org.whinhead.serving.stream.StreamOrigin;
import org.whinhead.serving.stream.StreamRecord;

/** Tracks where the stream of one request began, and selects the endpoints that may continue it. */
final class StreamTracker {

    /** The longest stream of a caller that states no deadline, in timeouts of its route. */
    private static final int MAX_TIMEOUTS = 2;

    /** The time for which a stream is known after its caller has given up. */
    private static final Duration KEPT_AFTER_DEADLINE = Duration.ofSeconds(5);

    private final Exchanges mExchanges;
    private final AdmittedRequest mAdmission;
    private final String mService;
    private Optional<StreamOrigin> mOrigin;
    private boolean mForwarded;

    /**
     * Creates a tracker.
     *
     * @param exchanges the parts of this daemon
     * @param admission the request
     * @param service the service that the request is sent to
     * @param origin where the stream began, if the request resumes one
     */
    StreamTracker(
            final Exchanges exchanges,
            final AdmittedRequest admission,
            final String service,
            final Optional<StreamOrigin> origin) {
        mExchanges = exchanges;
        mAdmission = admission;
        mService = service;
        mOrigin = origin;
    }

    private EndpointSelection selection() {
        return mExchanges.state().selection();
    }

    /**
     * Returns the endpoints that may receive the request: any before the first event, afterwards
     * only those that may continue the stream.
     *
     * @param repeated whether the request was sent before
     */
    List<EndpointEntry> candidates(final boolean repeated) {
        if (mOrigin.isPresent()) {
            return selection().continuationCandidates(mOrigin.get());
        }
        return selection()
                .candidates(
                        mService, mAdmission.route().name(), mAdmission.request().id(), repeated);
    }

    /**
     * Returns the priority of the next attempt. A stream that continues comes before new ones of
     * its rank, since only endpoints of its version can take it.
     */
    int priority() {
        return mOrigin.isPresent() ? mAdmission.priority() : mAdmission.priority() + 1;
    }

    /** Returns whether the request is for the rest of a stream. */
    boolean continues() {
        return mOrigin.isPresent();
    }

    /** Returns whether the request must wait for room at brittle endpoints. */
    boolean isWithoutRoom() {
        return mOrigin.isPresent()
                ? selection().isWithoutRoom(mOrigin.get())
                : selection().isWithoutRoom(mService);
    }

    /** Returns whether the stream has begun and no endpoint that may continue it is left. */
    boolean hasNoEndpoint() {
        return mOrigin.isPresent() && !selection().canContinue(mOrigin.get());
    }

    /** Records that the request is about to be sent to an endpoint. */
    void attemptSent(final EndpointEntry endpoint, final boolean moved) {
        if (mOrigin.isEmpty()) {
            return;
        }
        final StreamContinuation by;
        if (moved) {
            by = StreamContinuation.MOVE;
        } else {
            by = mForwarded ? StreamContinuation.FAILOVER : StreamContinuation.CALLER;
        }
        mExchanges.requestLogger().streamContinued(mAdmission, endpoint, by, mOrigin.get());
    }

    /** Records that an event of an endpoint is about to be forwarded to the caller. */
    void eventReceived(final EndpointEntry endpoint) {
        if (mForwarded) {
            return;
        }
        mForwarded = true;
        if (mOrigin.isEmpty()) {
            mOrigin = Optional.of(StreamOrigin.of(endpoint));
        }
        publish();
    }

    /** Tells other daemons once more where the stream began, as its caller may resume it now. */
    void brokenOff() {
        if (mForwarded) {
            publish();
        }
    }

    private void publish() {
        if (mAdmission.route().kind().isStream() && mAdmission.route().canRunAgain()) {
            final StreamKey key =
                    StreamIdentifier.identify(
                            mAdmission.request(),
                            mAdmission.customerName(),
                            mAdmission.request().id());
            mExchanges.streams().add(new StreamRecord(key, mOrigin.orElseThrow(), keptFor()));
        }
    }

    /** Returns the time for which the caller may resume the stream, whatever its route allows. */
    private Duration keptFor() {
        final Duration longest =
                mAdmission
                        .request()
                        .deadline()
                        .orElse(mAdmission.route().timeout().multipliedBy(MAX_TIMEOUTS));
        final Instant end = mAdmission.arrivedAt().plus(longest);
        final Duration left = Duration.between(mExchanges.state().clock().instant(), end);
        return (left.isNegative() ? Duration.ZERO : left).plus(KEPT_AFTER_DEADLINE);
    }
}
