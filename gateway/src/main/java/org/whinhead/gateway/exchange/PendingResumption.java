package org.whinhead.gateway.exchange;

import io.netty.buffer.ByteBuf;
import java.time.Duration;
import java.util.Optional;
import org.whinhead.gateway.caller.CallerRequestHandler;
import org.whinhead.gateway.caller.CallerResponse;
import org.whinhead.gateway.caller.RefusalResponse;
import org.whinhead.gateway.stream.StreamIdentifier;
import org.whinhead.serving.route.Route;
import org.whinhead.serving.stream.ResumableTimes;
import org.whinhead.serving.stream.StreamLookup;
import org.whinhead.serving.stream.StreamOrigin;

/**
 * A request that resumes a stream, until it is known where the stream began. Without that, events
 * of two software versions could be joined, so the request is refused and its caller begins anew,
 * unless only one version has served since the stream can have begun.
 */
final class PendingResumption extends PendingRequest {

    private static final String NOT_NAMED = "resumed stream not named";
    private static final String NAMES_ITSELF = "request resumes itself";
    private static final String NOT_KNOWN = "resumed stream not known";
    private static final String AMBIGUOUS = "id of resumed stream used twice";
    private static final String SERVICE_REPLACED = "service of resumed stream replaced";

    /** The time limit of a caller that states none, in timeouts of its route. */
    private static final int DEFAULT_TIMEOUTS = 2;

    /** The time that a caller takes to notice that its stream has broken off. */
    private static final Duration BREAK_NOTICED = Duration.ofSeconds(3);

    private final Exchanges mExchanges;
    private final AdmittedRequest mAdmission;
    private final CallerResponse mResponse;
    private final Runnable mCancel;

    /**
     * Looks for the origin of the stream.
     *
     * @param exchanges starts or refuses the request
     * @param admission the request
     * @param body the body, which is released if the request is not started
     * @param response receives the response
     */
    PendingResumption(
            final Exchanges exchanges,
            final AdmittedRequest admission,
            final ByteBuf body,
            final CallerResponse response) {
        super(body);
        mExchanges = exchanges;
        mAdmission = admission;
        mResponse = response;
        mCancel = find();
    }

    private Runnable find() {
        final Optional<String> firstId = mAdmission.request().resumedRequest();
        if (firstId.isEmpty()) {
            continueAtOnlyVersion(NOT_NAMED, longestStatedTime().plus(BREAK_NOTICED));
            return () -> {};
        }
        if (firstId.get().equals(mAdmission.request().id())) {
            refuse(NAMES_ITSELF);
            return () -> {};
        }
        return mExchanges
                .streams()
                .find(
                        StreamIdentifier.identify(
                                mAdmission.request(), mAdmission.customerName(), firstId.get()),
                        this::found);
    }

    private void found(final StreamLookup lookup) {
        switch (lookup.knowledge()) {
            // Each attempt may have a deadline of its own, so no deadline limits the stream's age.
            case NONE -> continueAtOnlyVersion(NOT_KNOWN, ResumableTimes.LONGEST);
            case AMBIGUOUS -> refuse(AMBIGUOUS);
            case ORIGIN -> continueAt(lookup.origin().orElseThrow());
            default -> throw new IllegalStateException("knowledge " + lookup.knowledge());
        }
    }

    /** Returns the longest time for which callers of the route may still resume a stream. */
    private Duration longestStatedTime() {
        final Route route = mAdmission.route();
        final Duration least =
                mAdmission.request().deadline().isPresent()
                        ? route.timeout()
                        : route.timeout().multipliedBy(DEFAULT_TIMEOUTS);
        final Duration stated =
                mExchanges
                        .state()
                        .resumableTimes()
                        .longest(route.name(), mExchanges.state().clock().instant());
        return stated.compareTo(least) > 0 ? stated : least;
    }

    private void continueAtOnlyVersion(final String reason, final Duration span) {
        final Optional<StreamOrigin> origin =
                mAdmission
                        .route()
                        .onlyService()
                        .flatMap(
                                service ->
                                        mExchanges.state().selection().onlyOrigin(service, span));
        if (origin.isPresent()) {
            continueAt(origin.get());
        } else {
            refuse(reason);
        }
    }

    private void continueAt(final StreamOrigin origin) {
        if (mAdmission.route().isServedBy(origin.service())) {
            decided(mExchanges.startExchange(mAdmission, Optional.of(origin), body(), mResponse));
        } else {
            refuse(SERVICE_REPLACED);
        }
    }

    private void refuse(final String reason) {
        final RefusalResponse refusal =
                new RefusalFactory(mExchanges.state(), mAdmission).cannotContinueRefusal(reason);
        decided(mExchanges.refuse(mAdmission.request(), body(), mResponse, refusal));
    }

    @Override
    CallerRequestHandler.ActiveRequest refuseAsStopping() {
        return mExchanges.refuse(
                mAdmission.request(),
                body(),
                mResponse,
                new RefusalFactory(mExchanges.state(), mAdmission).stoppingRefusal());
    }

    @Override
    void cancel() {
        mCancel.run();
    }
}
