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

/** Passes each event to the component that handles it. */
public final class DefaultRequestCoordinator implements RequestCoordinator {

    private final CoordinatorContext mContext;
    private final ActiveRequests mActiveRequests;
    private final AttemptLauncher mLauncher;
    private final ClaimGate mClaimGate;
    private final Recovery mRecovery;
    private final TicketHandler mTicketHandler;
    private final AttemptEventHandler mEventHandler;
    private final EndpointDrainer mEndpointDrainer;
    private final Shutdown mShutdown;
    private final StallDetector mStallDetector;
    private final LeavingEndpoints mLeaving = new LeavingEndpoints();

    private DefaultRequestCoordinator(final CoordinatorContext context) {
        mContext = context;
        mActiveRequests = new ActiveRequests(context);
        mLauncher = new AttemptLauncher(context, mActiveRequests, mLeaving);
        mClaimGate = new ClaimGate(context, mActiveRequests, mLauncher);
        mRecovery = new Recovery(context, mActiveRequests, mLauncher, mLeaving);
        mTicketHandler = new TicketHandler(context, mActiveRequests, mLauncher, mRecovery);
        mEndpointDrainer =
                new EndpointDrainer(
                        context, mActiveRequests, mLauncher, mRecovery, mTicketHandler, mLeaving);
        mEventHandler =
                new AttemptEventHandler(
                        context, mActiveRequests, mRecovery, mTicketHandler, mEndpointDrainer);
        mShutdown = new Shutdown(context, mActiveRequests);
        mStallDetector = new StallDetector(context.settings());
    }

    /** Returns a new builder. */
    public static Builder builder() {
        return new Builder();
    }

    @Override
    public boolean submit(final RequestSpec spec, final Instant now) {
        if (mActiveRequests.find(spec.id()).isPresent()) {
            return false;
        }
        final RequestState state =
                new RequestState(spec, spec.deadline(), new DeliveredText("", 0));
        mActiveRequests.add(state);
        final Optional<Refusal> refusal = refusalOnArrival(state, now);
        if (refusal.isPresent()) {
            mActiveRequests.refuse(state, refusal.get(), now);
            return true;
        }
        state.setOffered();
        mContext.log().add(state, DecisionKind.OFFERED, spec.tier().name(), now);
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
            mContext.actions().refuse(spec.id(), refusal.get());
            return;
        }
        final boolean ticketEndsFirst = ticket.deadline().isBefore(spec.deadline());
        final Instant deadline = ticketEndsFirst ? ticket.deadline() : spec.deadline();
        final DeliveredText delivered = new DeliveredText(haveText, haveTokens);
        final RequestState state = new RequestState(spec, deadline, delivered);
        mTicketHandler.handleReturn(state, ticket, mActiveRequests.find(spec.id()), now);
    }

    @Override
    public void onCallerDisconnected(final RequestId request, final Instant now) {
        mActiveRequests
                .find(request)
                .ifPresent(state -> mActiveRequests.endOnDisconnect(state, now));
        admitWaiting(now);
    }

    @Override
    public void onAttemptEvent(final AttemptEvent event, final Instant now) {
        final Optional<RequestState> state = mActiveRequests.find(event.attempt().request());
        mEventHandler.handle(state, event, now);
        if (state.isPresent() && !mActiveRequests.isActive(state.get())) {
            admitWaiting(now);
        }
    }

    @Override
    public void onClaimDecided(
            final RequestId request, final ClaimOutcome outcome, final Instant now) {
        mActiveRequests
                .find(request)
                .ifPresent(state -> mClaimGate.handleOutcome(state, outcome, now));
    }

    @Override
    public void onEndpointLeaving(
            final EndpointId endpoint, final Instant goneBy, final Instant now) {
        mEndpointDrainer.startDrain(endpoint, goneBy, now);
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
        for (final RequestState state : mActiveRequests.all()) {
            checkRequest(state, now);
        }
        mShutdown.endDueRequests(now);
    }

    @Override
    public int requestCount() {
        return mActiveRequests.count();
    }

    /** Returns the log of decisions. */
    public DecisionLog decisionLog() {
        return mContext.log();
    }

    /** Returns the counters of recoveries and recomputed tokens. */
    public RecoveryCounters recoveryCounters() {
        return mContext.counters();
    }

    private Optional<Refusal> refusalOnArrival(final RequestState state, final Instant now) {
        if (state.isPastDeadline(now)) {
            return Optional.of(Refusal.notRun(ErrorCode.DEADLINE_PASSED, "on arrival"));
        }
        return mShutdown
                .refusalIfStopping(Verdict.NOT_RUN)
                .or(() -> mContext.admission().offer(state.spec(), now));
    }

    private void admitWaiting(final Instant now) {
        for (final Admission.ShedRequest shed : mContext.admission().takeShed(now)) {
            findWaiting(shed.spec())
                    .ifPresent(state -> mActiveRequests.refuse(state, shed.refusal(), now));
        }
        for (final RequestSpec spec : mContext.admission().takeAdmitted(now)) {
            findWaiting(spec).ifPresent(state -> mClaimGate.handleAdmitted(state, now));
        }
    }

    private Optional<RequestState> findWaiting(final RequestSpec spec) {
        return mActiveRequests
                .find(spec.id())
                .filter(state -> state.phase() == RequestState.Phase.WAITING);
    }

    private void checkRequest(final RequestState state, final Instant now) {
        if (!mActiveRequests.isActive(state)) {
            return;
        }
        if (state.isPastDeadline(now)) {
            mActiveRequests.giveUp(
                    state, ErrorCode.DEADLINE_PASSED, "before the whole answer", now);
            return;
        }
        if (state.phase() == RequestState.Phase.PAUSED && !now.isBefore(state.retryAt())) {
            mLauncher.dispatch(state, now);
            return;
        }
        mEndpointDrainer.drainIfNeeded(state, now);
        if (mActiveRequests.isActive(state) && state.move().isEmpty()) {
            state.live().ifPresent(attempt -> checkForStall(state, attempt, now));
        }
    }

    private void checkForStall(final RequestState state, final Attempt attempt, final Instant now) {
        if (mStallDetector.hasLostTokens(attempt, now)) {
            final String detail = "tokens are missing before the end";
            mRecovery.handleFailure(state, attempt, AttemptFailure.CUT_DURING_ANSWER, detail, now);
        } else if (mStallDetector.isSilent(state, attempt, now)) {
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

        /** Sets the router, which chooses endpoints; required. */
        public Builder router(final Router router) {
            mRouter = router;
            return this;
        }

        /** Sets the admission control; required. */
        public Builder admission(final Admission admission) {
            mAdmission = admission;
            return this;
        }

        /** Sets the actions that the coordinator calls; required. */
        public Builder actions(final RequestActions actions) {
            mActions = actions;
            return this;
        }

        /** Sets the timeouts and limits. */
        public Builder settings(final RequestSettings settings) {
            mSettings = settings;
            return this;
        }

        /** Sets the random generator for jitter; required. */
        public Builder random(final RandomGenerator random) {
            mRandom = random;
            return this;
        }

        /** Sets the maximum number of decisions that the log keeps. */
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
