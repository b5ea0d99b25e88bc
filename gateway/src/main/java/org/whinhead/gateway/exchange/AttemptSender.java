package org.whinhead.gateway.exchange;

import io.netty.buffer.ByteBuf;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.whinhead.gateway.endpoint.AttemptContext;
import org.whinhead.gateway.endpoint.EndpointConnection;
import org.whinhead.gateway.endpoint.EndpointResponseListener;
import org.whinhead.gateway.endpoint.MovedRun;
import org.whinhead.serving.balance.Placement;

/** Sends the attempts of one request to endpoints. */
final class AttemptSender {

    private final Exchanges mExchanges;
    private final AdmittedRequest mAdmission;
    private final ByteBuf mBody;
    private Optional<MovedRun> mContinuedRun = Optional.empty();
    private String mContinuedAt = "";
    private Instant mSentAt;
    private int mSends;

    AttemptSender(final Exchanges exchanges, final AdmittedRequest admission, final ByteBuf body) {
        mExchanges = exchanges;
        mAdmission = admission;
        mBody = body;
    }

    /**
     * Lets the next attempt continue a run that was moved.
     *
     * @param run the run
     * @param endpoint the id of the endpoint that holds its memory
     */
    void continueRun(final MovedRun run, final String endpoint) {
        mContinuedRun = Optional.of(run);
        mContinuedAt = endpoint;
    }

    /** Returns the number of attempts, without those that continue a moved run. */
    int sends() {
        return mSends;
    }

    /** Returns the time of the last attempt; null before the first one. */
    Instant sentAt() {
        return mSentAt;
    }

    /** Records that an attempt is about to be sent to an endpoint. */
    void attemptStarts(final Placement placement, final StreamTracker stream) {
        final boolean isElsewhere = !placement.endpoint().id().equals(mContinuedAt);
        if (isElsewhere && mAdmission.route().canRunAgain()) {
            mContinuedRun = Optional.empty();
        }
        final boolean moved = mContinuedRun.isPresent();
        if (!moved) {
            mSends++;
        }
        mSentAt = mExchanges.state().clock().instant();
        mExchanges
                .answers()
                .recordSent(mAdmission, placement.endpoint(), AttemptReason.of(mSends, moved));
        stream.attemptSent(placement.endpoint(), moved);
    }

    /**
     * Sends an attempt.
     *
     * @param connection a connection to the endpoint
     * @param placement the request's place there
     * @param priority the priority of the attempt; 0 is served first
     * @param lastEventId the event after which its stream goes on, if it has begun
     * @param listener receives the response
     */
    void send(
            final EndpointConnection connection,
            final Placement placement,
            final int priority,
            final Optional<String> lastEventId,
            final EndpointResponseListener listener) {
        final AttemptContext context =
                new AttemptContext(
                        placement.endpoint(),
                        mAdmission.customerName(),
                        Duration.between(mSentAt, mAdmission.deadline()),
                        priority,
                        lastEventId,
                        mContinuedRun.isPresent() ? Optional.empty() : placement.promptSource(),
                        mContinuedRun);
        mContinuedRun = Optional.empty();
        connection.send(
                mExchanges.protocol().encode(mAdmission.request(), context, mBody.readableBytes()),
                mBody.retainedDuplicate(),
                listener);
    }
}
