package org.whinhead.gateway.exchange;

import io.netty.buffer.ByteBuf;
import java.time.Duration;
import java.time.Instant;
import org.whinhead.gateway.crash.RequestIdentifier;
import org.whinhead.serving.crash.RequestIdentity;
import org.whinhead.serving.endpoint.EndpointEntry;

/** Records that a request was in progress on an endpoint that has crashed. */
final class CrashRecorder {

    private final Exchanges mExchanges;
    private final AdmittedRequest mAdmission;
    private final ByteBuf mBody;

    CrashRecorder(final Exchanges exchanges, final AdmittedRequest admission, final ByteBuf body) {
        mExchanges = exchanges;
        mAdmission = admission;
        mBody = body;
    }

    /**
     * Records that the connection was lost before the response was complete.
     *
     * @param endpoint the endpoint
     * @param sentAt the time at which the request was sent to it
     */
    void connectionLost(final EndpointEntry endpoint, final Instant sentAt) {
        final RequestIdentity identity =
                RequestIdentifier.identify(mAdmission.request(), mAdmission.customerName(), mBody);
        final Duration age = Duration.between(sentAt, mExchanges.state().clock().instant());
        mExchanges
                .crashes()
                .connectionLost(
                        endpoint,
                        () ->
                                mExchanges
                                        .requestLogger()
                                        .wasOnCrashed(mAdmission, endpoint, identity, age));
    }
}
