package org.whinhead.serving.connection;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;
import org.whinhead.serving.configuration.ServiceSpec;

/**
 * Simulates daemons that open connections to endpoints, in steps of a millisecond. A connection is
 * busy while its request runs and idle afterwards until the endpoint closes it.
 */
final class ConnectionFleet {

    private static final int IDLE_STEPS = 4_300;

    private final int mDaemons;
    private final int mMaxConnections;
    private final int mRecorded;
    private final double mLoss;
    private final Random mRandom;
    private final List<List<Pool>> mPools = new ArrayList<>();
    private final List<ConnectionLimits> mLimits = new ArrayList<>();
    private final int[] mServed;
    private final int[] mRefused;
    private int mMostAtOneEndpoint;

    /**
     * Creates daemons without connections.
     *
     * @param daemons the number of daemons
     * @param endpoints the number of endpoints
     * @param maxConnections the connections that one endpoint accepts
     * @param recorded the recorded number of daemons; 0 if it is not known
     * @param loss the share of reports that are lost, so that daemons know fewer others
     * @param seed the seed of the simulation
     */
    ConnectionFleet(
            final int daemons,
            final int endpoints,
            final int maxConnections,
            final int recorded,
            final double loss,
            final long seed) {
        mDaemons = daemons;
        mMaxConnections = maxConnections;
        mRecorded = recorded;
        mLoss = loss;
        mRandom = new Random(seed);
        mServed = new int[daemons];
        mRefused = new int[daemons];
        for (int daemon = 0; daemon < daemons; daemon++) {
            mLimits.add(new ConnectionLimits());
            mPools.add(IntStream.range(0, endpoints).mapToObj(index -> new Pool()).toList());
        }
    }

    /**
     * Lets each daemon get requests for some time.
     *
     * @param steps the time in milliseconds
     * @param requestsPerStep the requests of a daemon in a millisecond
     * @param runSteps the time for which a request runs
     */
    void play(final int steps, final double requestsPerStep, final int runSteps) {
        final ServiceSpec service =
                new ServiceSpec(
                        "pool",
                        "/health",
                        mMaxConnections,
                        true,
                        Optional.empty(),
                        Optional.empty());
        for (int step = 0; step < steps; step++) {
            for (int daemon = 0; daemon < mDaemons; daemon++) {
                playDaemon(daemon, service, requestsPerStep, runSteps);
            }
            countMost();
        }
    }

    private void playDaemon(
            final int daemon,
            final ServiceSpec service,
            final double requestsPerStep,
            final int runSteps) {
        final ConnectionLimits limits = mLimits.get(daemon);
        limits.setDaemons(Math.max(known(), mRecorded));
        mPools.get(daemon).forEach(pool -> pool.step(limits.part(service)));
        double due = requestsPerStep;
        while (mRandom.nextDouble() < due) {
            due--;
            if (send(daemon, service, runSteps)) {
                mServed[daemon]++;
            } else {
                mRefused[daemon]++;
            }
        }
    }

    private int known() {
        return mLoss == 0 ? mDaemons : (int) Math.round(mDaemons * (1 - mLoss));
    }

    /** Sends a request to the first endpoint, from a random one on, that a connection leads to. */
    private boolean send(final int daemon, final ServiceSpec service, final int runSteps) {
        final List<Pool> pools = mPools.get(daemon);
        final int start = mRandom.nextInt(pools.size());
        for (int offset = 0; offset < pools.size(); offset++) {
            final Pool pool = pools.get((start + offset) % pools.size());
            if (pool.reuse(runSteps)) {
                return true;
            }
            if (mLimits.get(daemon).mayOpen(service, pool.mConnections.size())) {
                pool.mConnections.add(new Connection(runSteps));
                return true;
            }
        }
        return false;
    }

    private void countMost() {
        for (int endpoint = 0; endpoint < mPools.get(0).size(); endpoint++) {
            int open = 0;
            for (final List<Pool> pools : mPools) {
                open += pools.get(endpoint).mConnections.size();
            }
            mMostAtOneEndpoint = Math.max(mMostAtOneEndpoint, open);
        }
    }

    /** Returns the most connections that one endpoint had at any moment. */
    int mostAtOneEndpoint() {
        return mMostAtOneEndpoint;
    }

    /** Returns the least share of requests that a daemon could send. */
    double leastServedShare() {
        return IntStream.range(0, mDaemons)
                .mapToDouble(
                        daemon ->
                                (double) mServed[daemon]
                                        / Math.max(mServed[daemon] + mRefused[daemon], 1))
                .min()
                .orElseThrow();
    }

    private static final class Pool {
        private final List<Connection> mConnections = new ArrayList<>();

        private void step(final int part) {
            mConnections.forEach(connection -> connection.mBusySteps--);
            mConnections.removeIf(
                    connection ->
                            connection.mBusySteps <= 0
                                    && (connection.mBusySteps < -IDLE_STEPS
                                            || mConnections.size() > part));
        }

        private boolean reuse(final int runSteps) {
            for (final Connection connection : mConnections) {
                if (connection.mBusySteps <= 0) {
                    connection.mBusySteps = runSteps;
                    return true;
                }
            }
            return false;
        }
    }

    private static final class Connection {
        private int mBusySteps;

        private Connection(final int busySteps) {
            mBusySteps = busySteps;
        }
    }
}
