package org.whinhead.gateway.exchange;

import io.netty.buffer.ByteBuf;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.whinhead.gateway.caller.CallerRequest;
import org.whinhead.gateway.caller.CallerRequestHandler;
import org.whinhead.gateway.caller.CallerResponse;
import org.whinhead.gateway.caller.RefusalResponse;
import org.whinhead.serving.configuration.CustomerAccount;
import org.whinhead.serving.quota.TokenClaimListener;
import org.whinhead.serving.quota.TokenGrant;
import org.whinhead.serving.route.Route;

/** A request that waits for its customer's tokens and is then started or refused. */
final class PendingAdmission extends PendingRequest implements TokenClaimListener {

    private final Exchanges mExchanges;
    private final Candidate mCandidate;
    private final CallerResponse mResponse;
    private final long mTokens;
    private final Runnable mCancel;

    /**
     * Claims the tokens of a request.
     *
     * @param exchanges starts or refuses the request
     * @param candidate the request
     * @param body the body, which is released if the request is not started
     * @param response receives the response
     */
    PendingAdmission(
            final Exchanges exchanges,
            final Candidate candidate,
            final ByteBuf body,
            final CallerResponse response) {
        super(body);
        mExchanges = exchanges;
        mCandidate = candidate;
        mResponse = response;
        mTokens =
                candidate.request().tokens().orElse(candidate.customer().allowance().plainTokens());
        mCancel =
                exchanges
                        .state()
                        .quotas()
                        .claim(
                                candidate.customer().name(),
                                mTokens,
                                exchanges.state().moment(),
                                this);
    }

    /**
     * A request that the configuration allows and whose tokens are not claimed yet.
     *
     * @param request the request
     * @param route its route
     * @param customer the customer that is charged
     * @param arrivedAt the earliest time at which the whole request may have arrived
     */
    record Candidate(
            CallerRequest request, Route route, CustomerAccount customer, Instant arrivedAt) {}

    @Override
    public void granted(final TokenGrant spend) {
        mExchanges.requestLogger().admitted(mCandidate.customer(), mTokens);
        final AdmittedRequest admission =
                new AdmittedRequest(
                        mCandidate.request(),
                        mCandidate.route(),
                        Optional.of(mCandidate.customer()),
                        Optional.of(spend),
                        mCandidate.arrivedAt());
        decided(mExchanges.start(admission, body(), mResponse));
    }

    @Override
    public void overAllowance(final Duration retryAfter) {
        final UnmetClaim claim = unmetClaim();
        mExchanges.requestLogger().overAllowance(mCandidate.request(), claim, retryAfter);
        refuse(claim, RefusalResponse.overAllowance(retryAfter));
    }

    @Override
    public void unavailable(final Duration retryAfter) {
        refuse(unmetClaim(), RefusalResponse.notRun("allowance not known", retryAfter));
    }

    private UnmetClaim unmetClaim() {
        final ServingState state = mExchanges.state();
        return new UnmetClaim(
                mCandidate.customer(),
                mCandidate.route(),
                mTokens,
                state.quotas().knownLevels(mCandidate.customer().name(), state.moment()));
    }

    private void refuse(final UnmetClaim claim, final RefusalResponse refusal) {
        decided(
                mExchanges.refuse(
                        mCandidate.request(), Optional.of(claim), body(), mResponse, refusal));
    }

    @Override
    CallerRequestHandler.ActiveRequest refuseAsStopping() {
        return mExchanges.refuse(
                mCandidate.request(),
                body(),
                mResponse,
                RefusalResponse.notRun(RefusalFactory.STOPPING, Duration.ZERO));
    }

    @Override
    void cancel() {
        mCancel.run();
    }
}
