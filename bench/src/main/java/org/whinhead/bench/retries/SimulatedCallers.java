package org.whinhead.bench.retries;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.whinhead.api.model.Tier;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.bench.engine.Conversations;
import org.whinhead.bench.engine.EngineSettings;
import org.whinhead.bench.engine.Simulation;

/**
 * Callers that send requests at a mean rate, retry after the delay of a refusal, and disconnect
 * after a timeout.
 */
final class SimulatedCallers implements SimulatedDaemon.AnswerListener {

    private static final Duration REQUEST_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(60);
    private static final int MAX_TRIES = 4;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Simulation mSimulation;
    private final Random mRandom;
    private final double mPerSecond;
    private final Conversations mConversations;
    private final Map<RequestId, Try> mOpen = new HashMap<>();
    private final List<Call> mCalls = new ArrayList<>();
    private List<SimulatedDaemon> mDaemons = List.of();

    /**
     * Creates the callers.
     *
     * @param perSecond mean arrival rate, in calls per second
     */
    SimulatedCallers(final Simulation simulation, final double perSecond, final long seed) {
        mSimulation = simulation;
        mPerSecond = perSecond;
        mRandom = new Random(seed);
        mConversations = new Conversations(seed, EngineSettings.DEFAULT.blockTokens());
    }

    /** Starts the arrivals; each try goes to a random daemon. */
    void start(final List<SimulatedDaemon> daemons) {
        mDaemons = List.copyOf(daemons);
        arrive();
    }

    /** Returns every call so far, in order of arrival. */
    List<Call> calls() {
        return mCalls;
    }

    @Override
    public void firstToken(final RequestId request) {
        final Try open = mOpen.get(request);
        open.mFirstToken = mSimulation.now();
    }

    @Override
    public void completed(final RequestId request) {
        final Try open = mOpen.remove(request);
        final Instant now = mSimulation.now();
        open.mCall.mAnsweredAt = now;
        final RequestSpec spec = open.mSpec;
        final Instant due = spec.arrived().plus(spec.tier().firstTokenTarget());
        open.mCall.mInTime =
                !open.mFirstToken.isAfter(due)
                        && !now.isAfter(spec.arrived().plus(REQUEST_TIMEOUT));
    }

    @Override
    public void refused(final RequestId request, final Refusal refusal) {
        final Try open = mOpen.remove(request);
        if (open == null || open.mCall.mTries >= MAX_TRIES) {
            return;
        }
        refusal.retryAfter()
                .ifPresent(wait -> mSimulation.schedule(wait, () -> submit(open.mCall)));
    }

    private void arrive() {
        final Call call = new Call(mConversations.nextTurn(mSimulation.now()), mSimulation.now());
        mCalls.add(call);
        submit(call);
        final double wait = -Math.log(1 - mRandom.nextDouble()) / mPerSecond;
        mSimulation.schedule(Duration.ofNanos((long) (wait * NANOS_PER_SECOND)), this::arrive);
    }

    private void submit(final Call call) {
        call.mTries++;
        final RequestSpec spec = spec(call);
        mOpen.put(spec.id(), new Try(call, spec));
        final SimulatedDaemon daemon = mDaemons.get(mRandom.nextInt(mDaemons.size()));
        daemon.submit(spec, call.mTurn.outputTokens());
        mSimulation.schedule(CALLER_TIMEOUT, () -> disconnect(daemon, spec.id()));
    }

    private void disconnect(final SimulatedDaemon daemon, final RequestId request) {
        if (mOpen.remove(request) != null) {
            daemon.disconnectCaller(request);
        }
    }

    private RequestSpec spec(final Call call) {
        final RequestSpec turn = call.mTurn.spec();
        final Tier defaultTier = turn.tier();
        final Tier tier =
                new Tier(
                        defaultTier.name(),
                        defaultTier.priority(),
                        defaultTier.firstTokenTarget(),
                        defaultTier.betweenTokensTarget(),
                        REQUEST_TIMEOUT);
        final Instant now = mSimulation.now();
        return RequestSpec.builder(new RequestId(turn.id() + "." + call.mTries))
                .customer(turn.customer())
                .tier(tier)
                .model(Conversations.MODEL)
                .streamed(true)
                .prefixHashes(turn.prefixHashes())
                .promptTokens(turn.promptTokens())
                .maxTokens(turn.maxTokens())
                .arrived(now)
                .deadline(now.plus(REQUEST_TIMEOUT))
                .build();
    }

    /** One caller's request, sent in one or more tries. */
    static final class Call {
        private final Conversations.Turn mTurn;
        private final Instant mArrived;
        private int mTries;
        private Instant mAnsweredAt = Instant.MAX;
        private boolean mInTime;

        Call(final Conversations.Turn turn, final Instant arrived) {
            mTurn = turn;
            mArrived = arrived;
        }

        Instant arrived() {
            return mArrived;
        }

        /** Returns the time of the whole answer, or {@link Instant#MAX} without one. */
        Instant answeredAt() {
            return mAnsweredAt;
        }

        /**
         * Returns whether the answer met its targets, counted from the start of the answered try.
         */
        boolean isInTime() {
            return mInTime;
        }

        /** Returns whether the first try was answered in time. */
        boolean isInTimeOnFirstTry() {
            return mInTime && mTries == 1;
        }

        int tries() {
            return mTries;
        }
    }

    /** One try of a call. */
    private static final class Try {
        private final Call mCall;
        private final RequestSpec mSpec;
        private Instant mFirstToken = Instant.MAX;

        Try(final Call call, final RequestSpec spec) {
            mCall = call;
            mSpec = spec;
        }
    }
}
