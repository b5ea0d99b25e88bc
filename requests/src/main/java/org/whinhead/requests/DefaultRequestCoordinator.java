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

    private final CoordinatorContext mWiring;
    private final ActiveRequests mEndings;
    private final AttemptLauncher mLauncher;
    private final ClaimGate mClaimGate;
    private final Recovery mRecovery;
    private final TicketHandler mTickets;
    private final AttemptEventHandler mEvents;
    private final EndpointDrainer mDepartures;
    private final Shutdown mShutdown;
    private final StallDetector mStalls;
    private final LeavingEndpoints mLeaving = new LeavingEndpoints();

    private DefaultRequestCoordinator(final CoordinatorContext wiring) {
        mWiring = wiring;
        mEndings = new ActiveRequests(wiring);
        mLauncher = new AttemptLauncher(wiring, mEndings, mLeaving);
        mClaimGate = new ClaimGate(wiring, mEndings, mLauncher);
        mRecovery = new Recovery(wiring, mEndings, mLauncher, mLeaving);
        mTickets = new TicketHandler(wiring, mEndings, mLauncher, mRecovery);
        mDepartures =
                new EndpointDrainer(wiring, mEndings, mLauncher, mRecovery, mTickets, mLeaving);
        mEvents = new AttemptEventHandler(wiring, mEndings, mRecovery, mTickets, mDepartures);
        mShutdown = new Shutdown(wiring, mEndings);
        mStalls = new StallDetector(wiring.settings());
    }

    /** Returns a builder. */
    public static Builder builder() {
        return new Builder();
    }

    @Override
    public boolean submit(final RequestSpec spec, final Instant now) {
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
        admitWaiting(now);
        return true;
    }

    @Override
    public void resume(
            final RequestSpec spec,
            final Ticket ticket,
            final long haveTokens,
            final String haveText,
            final Instant now) {
        Arguments.requireAtLeast(haveTokens, 0, "haveTokens");
        final Optional<Refusal> refusal =
                TicketHandler.validate(spec, ticket)
                        .or(() -> mShutdown.refusalIfStopping(Verdict.MAY_HAVE_RUN));
        if (refusal.isPresent()) {
            mWiring.actions().refuse(spec.id(), refusal.get());
            return;
        }
        final boolean ticketFirst = ticket.deadline().isBefore(spec.deadline());
        final Instant deadline = ticketFirst ? ticket.deadline() : spec.deadline();
        final DeliveredText delivered = new DeliveredText(haveText, haveTokens);
        final RequestState state = new RequestState(spec, deadline, delivered);
        mTickets.handleReturn(state, ticket, mEndings.find(spec.id()), now);
    }

    @Override
    public void onCallerDisconnected(final RequestId request, final Instant now) {
        mEndings.find(request).ifPresent(state -> mEndings.endOnDisconnect(state, now));
        admitWaiting(now);
    }

    @Override
    public void onAttemptEvent(final AttemptEvent event, final Instant now) {
        final Optional<RequestState> state = mEndings.find(event.attempt().request());
        mEvents.handle(state, event, now);
        if (state.isPresent() && !mEndings.isActive(state.get())) {
            admitWaiting(now);
        }
    }

    @Override
    public void onClaimDecided(
            final RequestId request, final ClaimOutcome outcome, final Instant now) {
        mEndings.find(request).ifPresent(state -> mClaimGate.handleOutcome(state, outcome, now));
    }

    @Override
    public void onEndpointLeaving(
            final EndpointId endpoint, final Instant goneBy, final Instant now) {
        mDepartures.startDrain(endpoint, goneBy, now);
    }

    @Override
    public void beginShutdown(final Instant goneBy, final Instant now) {
        mShutdown.begin(goneBy);
        mShutdown.endDueRequests(now);
    }

    @Override
    public void tick(final Instant now) {
        mLeaving.removeExpired(now);
        admitWaiting(now);
        for (final RequestState state : mEndings.all()) {
            checkRequest(state, now);
        }
        mShutdown.endDueRequests(now);
    }

    @Override
    public int requestCount() {
        return mEndings.count();
    }

    /** Returns the records of what was decided. */
    public DecisionLog decisionLog() {
        return mWiring.log();
    }

    /** Returns the counts of recomputed tokens. */
    public RecoveryCounters recoveryCounters() {
        return mWiring.counters();
    }

    private Optional<Refusal> refusalOnArrival(final RequestState state, final Instant now) {
        if (state.isPastDeadline(now)) {
            return Optional.of(Refusal.notRun(ErrorCode.DEADLINE_PASSED, "on arrival"));
        }
        return mShutdown
                .refusalIfStopping(Verdict.NOT_RUN)
                .or(() -> mWiring.admission().offer(state.spec(), now));
    }

    private void admitWaiting(final Instant now) {
        for (final Admission.ShedRequest shed : mWiring.admission().takeShed(now)) {
            findWaiting(shed.spec())
                    .ifPresent(state -> mEndings.refuse(state, shed.refusal(), now));
        }
        for (final RequestSpec spec : mWiring.admission().takeAdmitted(now)) {
            findWaiting(spec).ifPresent(state -> mClaimGate.handleAdmitted(state, now));
        }
    }

    private Optional<RequestState> findWaiting(final RequestSpec spec) {
        return mEndings.find(spec.id())
                .filter(state -> state.phase() == RequestState.Phase.WAITING);
    }

    private void checkRequest(final RequestState state, final Instant now) {
        if (!mEndings.isActive(state)) {
            return;
        }
        if (state.isPastDeadline(now)) {
            mEndings.giveUp(state, ErrorCode.DEADLINE_PASSED, "before the whole answer", now);
            return;
        }
        if (state.phase() == RequestState.Phase.PAUSED && !now.isBefore(state.retryAt())) {
            mLauncher.dispatch(state, now);
            return;
        }
        mDepartures.drainIfNeeded(state, now);
        if (mEndings.isActive(state) && state.move().isEmpty()) {
            state.live().ifPresent(attempt -> checkForStall(state, attempt, now));
        }
    }

    private void checkForStall(final RequestState state, final Attempt attempt, final Instant now) {
        if (mStalls.hasLostTokens(attempt, now)) {
            final String detail = "tokens are missing before the end";
            mRecovery.handleFailure(state, attempt, AttemptFailure.CUT_DURING_ANSWER, detail, now);
        } else if (mStalls.isSilent(state, attempt, now)) {
            final String detail = "no token in time";
            mRecovery.handleFailure(state, attempt, AttemptFailure.SILENT, detail, now);
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
                    new CoordinatorContext(
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
