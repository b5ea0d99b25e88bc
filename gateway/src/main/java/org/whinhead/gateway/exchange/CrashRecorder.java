package org.whinhead.gateway.exchange;

import io.netty.buffer.ByteBuf;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Consumer;
import org.whinhead.gateway.crash.CrashDetector;
import org.whinhead.gateway.crash.RequestIdentifier;
import org.whinhead.serving.crash.CrashSuspects;
import org.whinhead.serving.crash.EndpointCrash;
import org.whinhead.serving.crash.RequestIdentity;
import org.whinhead.serving.crash.SuspectDecision;
import org.whinhead.serving.endpoint.EndpointEntry;

/** Records what becomes of the endpoints that have one request. */
final class CrashRecorder {

    /**
     * The longest wait for a check: an endpoint that has closed a connection, or whose VM has,
     * accepts or refuses another one within milliseconds.
     */
    private static final Duration MAX_CHECK_TIME = Duration.ofMillis(300);

    private final Exchanges mExchanges;
    private final AdmittedRequest mAdmission;
    private final ByteBuf mBody;
    private Optional<RequestIdentity> mIdentity = Optional.empty();
    private boolean mStarted;
    private int mKnownLevel;

    CrashRecorder(final Exchanges exchanges, final AdmittedRequest admission, final ByteBuf body) {
        mExchanges = exchanges;
        mAdmission = admission;
        mBody = body;
    }

    private CrashSuspects suspects() {
        return mExchanges.state().suspects();
    }

    private Instant now() {
        return mExchanges.state().clock().instant();
    }

    /** Returns the identity of the request if it may be a suspected one. */
    private Optional<RequestIdentity> suspectedIdentity() {
        final int shape =
                RequestIdentifier.shape(mAdmission.request(), mAdmission.customerName(), mBody);
        return suspects().mayKnow(shape) ? Optional.of(identity()) : Optional.empty();
    }

    private RequestIdentity identity() {
        if (mIdentity.isEmpty()) {
            mIdentity =
                    Optional.of(
                            RequestIdentifier.identify(
                                    mAdmission.request(), mAdmission.customerName(), mBody));
        }
        return mIdentity.get();
    }

    private long hash() {
        return RequestIdentifier.hash(mAdmission.request(), mAdmission.customerName(), mBody);
    }

    /** Decides whether the request may be sent, and records that it is in progress if so. */
    SuspectDecision start() {
        final Optional<RequestIdentity> identity = suspectedIdentity();
        if (identity.isEmpty()) {
            return SuspectDecision.RUN;
        }
        final SuspectDecision decision = suspects().decide(identity.get(), now());
        if (decision.isAllowed()) {
            mStarted = true;
            suspects().recordStart(identity.get(), now());
        }
        return decision;
    }

    /** Records that the request is about to be sent to an endpoint. */
    void attemptSent() {
        suspectedIdentity()
                .ifPresent(
                        identity ->
                                mKnownLevel =
                                        Math.max(mKnownLevel, suspects().level(identity, now())));
    }

    /**
     * Returns whether the request counts as a suspect, so that it should do as little harm as
     * possible if it crashes another endpoint.
     */
    boolean isSuspect() {
        return suspectedIdentity()
                .filter(identity -> suspects().level(identity, now()) > 0)
                .isPresent();
    }

    /** Returns whether the request may be sent to another endpoint if this one crashed. */
    boolean mayRunAgain() {
        return mKnownLevel + 1 < CrashSuspects.GUARDED_LEVEL;
    }

    /**
     * Finds out whether an endpoint has crashed that has ended the connection of the request.
     *
     * @param endpoint the endpoint
     * @param sentAt the time at which the request was sent to it
     * @param begun whether a part of its response was forwarded
     * @param checked receives whether it has crashed; false also if that is not known in time
     */
    void connectionEnded(
            final EndpointEntry endpoint,
            final Instant sentAt,
            final boolean begun,
            final Consumer<Boolean> checked) {
        final RequestIdentity identity = identity();
        final long hash = hash();
        final Duration age = Duration.between(sentAt, now());
        final CheckResult result = new CheckResult(mExchanges.loop(), MAX_CHECK_TIME, checked);
        mExchanges
                .crashes()
                .connectionLost(
                        endpoint,
                        new CrashDetector.LostRequest() {
                            @Override
                            public EndpointCrash.Request crashed() {
                                return new EndpointCrash.Request(
                                        identity,
                                        recordCrash(endpoint, identity, hash, age, begun));
                            }

                            @Override
                            public void checked(final boolean crashed) {
                                result.set(crashed);
                            }
                        });
    }

    private int recordCrash(
            final EndpointEntry endpoint,
            final RequestIdentity identity,
            final long hash,
            final Duration age,
            final boolean begun) {
        final boolean usual = mExchanges.state().usual().contains(hash, now());
        final int level =
                suspects().recordCrash(identity, endpoint.id(), mKnownLevel, usual, now());
        // The next attempt may be on its way already; it began after this crash all the same.
        mKnownLevel = Math.max(mKnownLevel, level);
        mExchanges.requestLogger().wasOnCrashed(mAdmission, endpoint, identity, age, begun, level);
        return level;
    }

    /** Records that an endpoint has answered the request completely. */
    void answered() {
        mExchanges.state().usual().recordAnswer(hash(), now());
        suspectedIdentity()
                .filter(identity -> suspects().recordAnswer(identity, now()))
                .ifPresent(
                        identity -> {
                            mExchanges.requestLogger().cleared(mAdmission, identity);
                            mExchanges.crashes().answered(identity);
                        });
    }

    /** Records that the request has ended. */
    void end() {
        if (mStarted) {
            mStarted = false;
            mIdentity.ifPresent(suspects()::recordEnd);
        }
    }
}
