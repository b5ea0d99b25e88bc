package org.whinhead.bench.routing;

import java.time.Duration;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.whinhead.bench.engine.Cluster;
import org.whinhead.bench.engine.Conversations;
import org.whinhead.bench.engine.EngineSettings;
import org.whinhead.bench.engine.Sequence;
import org.whinhead.bench.engine.Simulation;
import org.whinhead.routing.RoutingStrategy;

/** Simulates one routing strategy under the traffic of a seed. */
final class RoutingRun {

    private static final Duration LENGTH = Duration.ofSeconds(180);
    private static final Duration WARM_UP = Duration.ofSeconds(40);
    private static final Cluster.Sizes SIZES = new Cluster.Sizes(12, 8);
    private static final double ARRIVALS_PER_SECOND = 32;
    private static final double SAME_DAEMON_SHARE = 0.8;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double PERCENTILE = 95;

    private final Simulation mSimulation = new Simulation();
    private final Histogram mFirstTokenMicros = new Histogram(3);
    private final Conversations mConversations;
    private final Random mRandom;
    private final Cluster mCluster;
    private long mFinished;
    private long mPromptTokens;
    private long mUncachedTokens;
    private long mGeneratedTokens;

    private RoutingRun(final RoutingStrategy strategy, final long seed) {
        mRandom = new Random(seed);
        mConversations = new Conversations(seed, EngineSettings.DEFAULT.blockTokens());
        mCluster = new Cluster(SIZES, strategy, seed, mSimulation, this::finished);
    }

    static Outcome run(final RoutingStrategy strategy, final long seed) {
        final RoutingRun run = new RoutingRun(strategy, seed);
        run.sendNextRequest();
        run.mSimulation.runFor(LENGTH);
        return run.outcome();
    }

    private void sendNextRequest() {
        final Conversations.Turn turn = mConversations.nextTurn(mSimulation.now());
        final boolean same = mRandom.nextDouble() < SAME_DAEMON_SHARE;
        final int other = mRandom.nextInt(SIZES.routers());
        final int router = same ? turn.conversation() % SIZES.routers() : other;
        mCluster.send(new Sequence(turn.spec(), turn.outputTokens()), router);
        final double wait = -Math.log(1 - mRandom.nextDouble()) / ARRIVALS_PER_SECOND;
        mSimulation.schedule(
                Duration.ofNanos((long) (wait * NANOS_PER_SECOND)), this::sendNextRequest);
    }

    private void finished(final Sequence sequence) {
        if (sequence.spec().arrived().isBefore(Simulation.START.plus(WARM_UP))) {
            return;
        }
        mFinished++;
        mPromptTokens += sequence.spec().promptTokens();
        mUncachedTokens += sequence.uncachedPromptTokens();
        mGeneratedTokens += sequence.generatedTokens();
        final Duration firstToken =
                Duration.between(sequence.spec().arrived(), sequence.firstTokenAt());
        mFirstTokenMicros.recordValue(firstToken.toNanos() / 1000);
    }

    private Outcome outcome() {
        return new Outcome(
                mFinished,
                mFirstTokenMicros.getValueAtPercentile(PERCENTILE) / 1000.0,
                1 - (double) mUncachedTokens / mPromptTokens,
                (double) (mUncachedTokens + mGeneratedTokens) / mFinished);
    }

    /**
     * Results of a run.
     *
     * @param finished number of finished requests that arrived after the warm-up
     * @param firstTokenMillis 95th percentile of the time to the first token, in milliseconds
     * @param hitShare share of prompt tokens found in a prefix cache, 0 to 1
     * @param computedTokens mean number of prompt and answer tokens computed for a request
     */
    record Outcome(
            long finished, double firstTokenMillis, double hitShare, double computedTokens) {}
}
