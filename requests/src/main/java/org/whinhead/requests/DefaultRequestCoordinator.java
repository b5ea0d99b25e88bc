package org.whinhead.requests;

import java.time.Instant;
import java.util.Objects;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.whinhead.admission.Admission;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.api.verdict.ErrorCode;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.api.verdict.Verdict;
import org.whinhead.routing.Router;

/** Hands each event to the part that decides on it. */
public final class DefaultRequestCoordinator implements RequestCoordinator {

    private final Wiring mWiring;
    private final Endings mEndings;
    private final AttemptLauncher mLauncher;
    private final ClaimGate mClaimGate;
    private final Recovery mRecovery;
    private final Tickets mTickets;
    private final AttemptEventHandler mEvents;
    private final Departures mDepartures;
    private final Shutdown mShutdown;
    private final StallDetector mStalls;
    private final LeavingEndpoints mLeaving = new LeavingEndpoints();

    private DefaultRequestCoordinator(final Wiring wiring) {
        mWiring = wiring;
        mEndings = new Endings(wiring);
        mLauncher = new AttemptLauncher(wiring, mEndings, mLeaving);
        mClaimGate = new ClaimGate(wiring, mEndings, mLauncher);
        mRecovery = new Recovery(wiring, mEndings, mLauncher, mLeaving);
        mTickets = new Tickets(wiring, mEndings, mLauncher, mRecovery);
        mDepartures = new Departures(wiring, mEndings, mLauncher, mRecovery, mTickets, mLeaving);
        mEvents = new AttemptEventHandler(wiring, mEndings, mRecovery, mTickets, mDepartures);
        mShutdown = new Shutdown(wiring, mEndings);
        mStalls = new StallDetector(wiring.settings());
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    @Override
    public boolean arrived(final RequestSpec spec, final Instant now) {
        if (mEndings.find(spec.id()).isPresent()) {
            return false;
        }
        final RequestState state =
                new RequestState(spec, spec.deadline(), new DeliveredText("", 0));
        mEndings.add(state);
        final Optional<Refusal> refusal = refusalOnArrival(state, now);
        if (refusal.isPresent()) {
            mEndings.refuse(state, refusal.get(), now);
            return true;
        }
        state.setOffered();
        mWiring.log().add(state, DecisionKind.OFFERED, spec.tier().name(), now);
        admit(now);
        return true;
    }

    @Override
    public void returned(
            final RequestSpec spec,
            final Ticket ticket,
            final long haveTokens,
            final String haveText,
            final Instant now) {
        Arguments.requireAtLeast(haveTokens, 0, "haveTokens");
        final Optional<Refusal> refusal =
                Tickets.check(spec, ticket).or(() -> mShutdown.refusal(Verdict.MAY_HAVE_RUN));
        if (refusal.isPresent()) {
            mWiring.actions().refuse(spec.id(), refusal.get());
            return;
        }
        final boolean ticketFirst = ticket.deadline().isBefore(spec.deadline());
        final Instant deadline = ticketFirst ? ticket.deadline() : spec.deadline();
        final DeliveredText delivered = new DeliveredText(haveText, haveTokens);
        final RequestState state = new RequestState(spec, deadline, delivered);
        mTickets.returned(state, ticket, mEndings.find(spec.id()), now);
    }

    @Override
    public void callerLeft(final RequestId request, final Instant now) {
        mEndings.find(request).ifPresent(state -> mEndings.callerLeft(state, now));
        admit(now);
    }

    @Override
    public void attemptEvent(final AttemptEvent event, final Instant now) {
        final Optional<RequestState> state = mEndings.find(event.attempt().request());
        mEvents.happened(state, event, now);
        if (state.isPresent() && !mEndings.isOpen(state.get())) {
            admit(now);
        }
    }

    @Override
    public void claimDecided(
            final RequestId request, final ClaimOutcome outcome, final Instant now) {
        mEndings.find(request).ifPresent(state -> mClaimGate.decided(state, outcome, now));
    }

    @Override
    public void endpointLeaving(
            final EndpointId endpoint, final Instant goneBy, final Instant now) {
        mDepartures.endpointLeaving(endpoint, goneBy, now);
    }

    @Override
    public void stopping(final Instant goneBy, final Instant now) {
        mShutdown.begin(goneBy);
        mShutdown.tick(now);
    }

    @Override
    public void tick(final Instant now) {
        mLeaving.forgetOld(now);
        admit(now);
        for (final RequestState state : mEndings.all()) {
            look(state, now);
        }
        mShutdown.tick(now);
    }

    @Override
    public int inProgress() {
        return mEndings.count();
    }

    /** Returns the records of what was decided. */
    public DecisionLog decisions() {
        return mWiring.log();
    }

    /** Returns the counts of recomputed tokens. */
    public RecoveryCounters recoveries() {
        return mWiring.counters();
    }

    private Optional<Refusal> refusalOnArrival(final RequestState state, final Instant now) {
        if (state.isLate(now)) {
            return Optional.of(Refusal.notRun(ErrorCode.DEADLINE_PASSED, "on arrival"));
        }
        return mShutdown
                .refusal(Verdict.NOT_RUN)
                .or(() -> mWiring.admission().offer(state.spec(), now));
    }

    private void admit(final Instant now) {
        for (final Admission.ShedRequest shed : mWiring.admission().takeShed(now)) {
            waiting(shed.spec()).ifPresent(state -> mEndings.refuse(state, shed.refusal(), now));
        }
        for (final RequestSpec spec : mWiring.admission().takeAdmitted(now)) {
            waiting(spec).ifPresent(state -> mClaimGate.admitted(state, now));
        }
    }

    private Optional<RequestState> waiting(final RequestSpec spec) {
        return mEndings.find(spec.id())
                .filter(state -> state.phase() == RequestState.Phase.WAITING);
    }

    private void look(final RequestState state, final Instant now) {
        if (!mEndings.isOpen(state)) {
            return;
        }
        if (state.isLate(now)) {
            mEndings.giveUp(state, ErrorCode.DEADLINE_PASSED, "before the whole answer", now);
            return;
        }
        if (state.phase() == RequestState.Phase.PAUSED && !now.isBefore(state.nextTry())) {
            mLauncher.dispatch(state, now);
            return;
        }
        mDepartures.look(state, now);
        if (mEndings.isOpen(state) && state.move().isEmpty()) {
            state.live().ifPresent(attempt -> lookForSilence(state, attempt, now));
        }
    }

    private void lookForSilence(
            final RequestState state, final Attempt attempt, final Instant now) {
        if (mStalls.hasLostTokens(attempt, now)) {
            final String detail = "tokens are missing before the end";
            mRecovery.failed(state, attempt, AttemptFailure.CUT_DURING_ANSWER, detail, now);
        } else if (mStalls.isSilent(state, attempt, now)) {
            final String detail = "no token in time";
            mRecovery.failed(state, attempt, AttemptFailure.SILENT, detail, now);
        }
    }

    /** Builds a {@link DefaultRequestCoordinator}. */
    public static final class Builder {

        private static final int DEFAULT_DECISIONS = 8192;

        private Router mRouter;
        private Admission mAdmission;
        private RequestActions mActions;
        private RequestSettings mSettings = RequestSettings.builder().build();
        private RandomGenerator mRandom;
        private int mDecisions = DEFAULT_DECISIONS;

        private Builder() {}

        /** Sets what chooses endpoints; required. */
        public Builder router(final Router router) {
            mRouter = router;
            return this;
        }

        /** Sets what admits requests; required. */
        public Builder admission(final Admission admission) {
            mAdmission = admission;
            return this;
        }

        /** Sets what acts on the outside; required. */
        public Builder actions(final RequestActions actions) {
            mActions = actions;
            return this;
        }

        /** Sets patience and limits. */
        public Builder settings(final RequestSettings settings) {
            mSettings = settings;
            return this;
        }

        /** Sets the seeded source of jitter; required. */
        public Builder random(final RandomGenerator random) {
            mRandom = random;
            return this;
        }

        /** Sets how many decision records are kept. */
        public Builder decisions(final int decisions) {
            mDecisions = decisions;
            return this;
        }

        /** Builds the coordinator. */
        public DefaultRequestCoordinator build() {
            Objects.requireNonNull(mSettings, "settings");
            final RetryBudget budget =
                    new RetryBudget(mSettings.retryShare(), mSettings.retryBurst());
            return new DefaultRequestCoordinator(
                    new Wiring(
                            mRouter,
                            mAdmission,
                            mActions,
                            mSettings,
                            mRandom,
                            new DecisionLog(mDecisions),
                            new RecoveryCounters(),
                            budget));
        }
    }
}
