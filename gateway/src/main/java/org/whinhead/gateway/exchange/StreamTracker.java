package org.whinhead.gateway.exchange;

import java.util.Optional;
import org.whinhead.serving.endpoint.EndpointEntry;

/** Tracks at which software version the stream of one request began. */
final class StreamTracker {

    private final RequestLogger mLogger;
    private final AdmittedRequest mAdmission;
    private Optional<String> mFirstVersion = Optional.empty();

    StreamTracker(final RequestLogger logger, final AdmittedRequest admission) {
        mLogger = logger;
        mAdmission = admission;
    }

    /** Records that the request is about to be sent to an endpoint. */
    void attemptSent(final EndpointEntry endpoint, final boolean moved) {
        if (mFirstVersion.isPresent()) {
            final StreamContinuation by =
                    moved ? StreamContinuation.MOVE : StreamContinuation.FAILOVER;
            mLogger.streamContinued(mAdmission, endpoint, by, mFirstVersion);
        } else if (mAdmission.request().resumeAfter().isPresent()) {
            mLogger.streamContinued(
                    mAdmission, endpoint, StreamContinuation.CALLER, Optional.empty());
        }
    }

    /** Records that an event of an endpoint is about to be forwarded to the caller. */
    void eventReceived(final EndpointEntry endpoint) {
        if (mFirstVersion.isEmpty()) {
            mFirstVersion = Optional.of(endpoint.version());
        }
    }
}
