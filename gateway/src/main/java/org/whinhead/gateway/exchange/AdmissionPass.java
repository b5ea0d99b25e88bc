package org.whinhead.gateway.exchange;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Consumer;
import org.whinhead.serving.admission.AdmissionDecision;
import org.whinhead.serving.admission.AdmissionRequest;
import org.whinhead.serving.admission.PlacedRequest;
import org.whinhead.serving.balance.Work;
import org.whinhead.serving.configuration.CustomerAccount;
import org.whinhead.serving.endpoint.EndpointEntry;

/**
 * Takes one request through the admission of its service, before its first attempt only.
 *
 * <p>Its rank is the priority of its route. That of its customer does not count here, as customers
 * share what there is by what they are granted.
 */
final class AdmissionPass {

    private final Exchanges mExchanges;
    private final AdmittedRequest mAdmission;
    private final String mService;
    private final StreamTracker mStream;
    private boolean mDecided;
    private Optional<AdmissionRequest> mWaiting = Optional.empty();
    private Optional<PlacedRequest> mPlaced = Optional.empty();

    AdmissionPass(
            final Exchanges exchanges,
            final AdmittedRequest admission,
            final String service,
            final StreamTracker stream) {
        mExchanges = Objects.requireNonNull(exchanges, "exchanges");
        mAdmission = Objects.requireNonNull(admission, "admission");
        mService = Objects.requireNonNull(service, "service");
        mStream = Objects.requireNonNull(stream, "stream");
    }

    private ServingState state() {
        return mExchanges.state();
    }

    private Instant now() {
        return state().clock().instant();
    }

    /**
     * Lets the request pass, at once or later, or has it refused. Attempts after the first pass at
     * once, as do those for the rest of a stream and those to endpoints that have limits of their
     * own.
     *
     * @param passed runs when the request may be sent
     * @param refused receives the refusal
     */
    void enter(final Runnable passed, final Consumer<AdmissionDecision> refused) {
        if (mDecided || !state().pools().admitsByWait()) {
            passed.run();
            return;
        }
        mDecided = true;
        final List<EndpointEntry> candidates = mStream.candidates(false);
        if (candidates.isEmpty()
                || mStream.continues()
                || state().brittle().isBrittle(mService, now())) {
            pass(candidates);
            passed.run();
            return;
        }
        final AdmissionRequest request = request();
        mWaiting = Optional.of(request);
        mExchanges
                .admissionGate()
                .enter(
                        request,
                        work(),
                        () -> mStream.candidates(false),
                        new AdmissionGate.Listener() {
                            @Override
                            public void admitted(
                                    final PlacedRequest placed, final Duration heldFor) {
                                mWaiting = Optional.empty();
                                mPlaced = Optional.of(placed);
                                logHeld(heldFor, "placed");
                                passed.run();
                            }

                            @Override
                            public void refused(
                                    final AdmissionDecision decision, final Duration heldFor) {
                                mWaiting = Optional.empty();
                                logHeld(heldFor, "refused");
                                mExchanges
                                        .requestLogger()
                                        .notAdmitted(mAdmission, mService, decision);
                                refused.accept(decision);
                            }
                        });
    }

    /** Counts a request that is sent without a decision, such as a run that was moved. */
    private void pass(final List<EndpointEntry> candidates) {
        mPlaced =
                Optional.of(
                        mExchanges
                                .admissionGate()
                                .pass(
                                        mService,
                                        mAdmission.route().name(),
                                        mAdmission.route().priority(),
                                        candidates));
    }

    private void logHeld(final Duration heldFor, final String outcome) {
        if (heldFor.toMillis() > 0) {
            mExchanges.requestLogger().held(mAdmission, mService, heldFor, outcome);
        }
    }

    private Work work() {
        return mAdmission.request().work();
    }

    private AdmissionRequest request() {
        final double tokensPerMilli =
                state().chooser().prefillRate(mService).tokensPerMillisecond();
        // A caller may send an id again while the request before it still waits.
        final String id = mAdmission.request().id() + '/' + mExchanges.admissionGate().nextNumber();
        return AdmissionRequest.builder(id, mService, mAdmission.route().name())
                .rank(mAdmission.route().priority())
                .customer(
                        mAdmission.customerName().orElse(""),
                        mAdmission.customer().map(AdmissionPass::granted).orElse(0.0),
                        work().session())
                .cost(Duration.ofMillis(Math.round(work().promptTokens() / tokensPerMilli)))
                .usefulUntil(mAdmission.deadline())
                .build();
    }

    private static double granted(final CustomerAccount customer) {
        return customer.allowance().tokensPerSecond();
    }

    /** Ends the wait, if any, of a request whose caller has left or whose deadline has passed. */
    void leave() {
        mWaiting.ifPresent(mExchanges.admissionGate()::leave);
        mWaiting = Optional.empty();
    }

    /** Ends the request: its slot is free. */
    void end(final boolean answered) {
        leave();
        mPlaced.ifPresent(
                placed -> {
                    placed.end(answered, now());
                    mExchanges.admissionGate().requestEnded();
                });
    }
}
