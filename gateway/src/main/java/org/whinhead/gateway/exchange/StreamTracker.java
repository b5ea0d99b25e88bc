package org.whinhead.gateway.exchange;

import java.util.List;
import java.util.Optional;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.stream.StreamOrigin;

/** Tracks where the stream of one request began, and selects the endpoints that may continue it. */
final class StreamTracker {

    private final Exchanges mExchanges;
    private final AdmittedRequest mAdmission;
    private final String mService;
    private Optional<StreamOrigin> mOrigin = Optional.empty();

    StreamTracker(
            final Exchanges exchanges, final AdmittedRequest admission, final String service) {
        mExchanges = exchanges;
        mAdmission = admission;
        mService = service;
    }

    /**
     * Returns the endpoints that may receive the request: any before the first event, afterwards
     * only those that may continue the stream.
     *
     * @param repeated whether the request was sent before
     */
    List<EndpointEntry> candidates(final boolean repeated) {
        final ServingState state = mExchanges.state();
        if (mOrigin.isPresent()) {
            return state.continuationCandidates(mOrigin.get());
        }
        return state.candidates(
                mService, mAdmission.route().name(), mAdmission.request().id(), repeated);
    }

    /** Returns whether the request must wait for room at brittle endpoints. */
    boolean isWithoutRoom() {
        final ServingState state = mExchanges.state();
        return mOrigin.isPresent()
                ? state.isWithoutRoom(mOrigin.get())
                : state.isWithoutRoom(mService);
    }

    /** Records that the request is about to be sent to an endpoint. */
    void attemptSent(final EndpointEntry endpoint, final boolean moved) {
        final RequestLogger logger = mExchanges.requestLogger();
        final Optional<String> firstVersion = mOrigin.map(StreamOrigin::version);
        if (mOrigin.isPresent()) {
            final StreamContinuation by =
                    moved ? StreamContinuation.MOVE : StreamContinuation.FAILOVER;
            logger.streamContinued(mAdmission, endpoint, by, firstVersion);
        } else if (mAdmission.request().resumeAfter().isPresent()) {
            logger.streamContinued(mAdmission, endpoint, StreamContinuation.CALLER, firstVersion);
        }
    }

    /** Records that an event of an endpoint is about to be forwarded to the caller. */
    void eventReceived(final EndpointEntry endpoint) {
        if (mOrigin.isEmpty()) {
            mOrigin = Optional.of(StreamOrigin.of(endpoint));
        }
    }
}
