package org.whinhead.standins.load;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.LongSupplier;
import org.whinhead.api.Arguments;
import org.whinhead.standins.load.caller.CallerConfig;
import org.whinhead.standins.load.caller.LoadClient;
import org.whinhead.standins.load.mix.PlannedRequest;
import org.whinhead.standins.load.mix.RequestPlanner;
import org.whinhead.standins.load.mix.Workload;
import org.whinhead.standins.load.result.LoadResult;
import org.whinhead.standins.load.result.RequestOutcome;
import org.whinhead.standins.load.result.RequestResult;

/**
 * One run of a workload against daemons, in an open loop (a rate that does not depend on the
 * answers) or in a closed loop (a number of callers, each with one request at a time).
 */
public final class LoadRun {

    private static final Duration PAUSE_AFTER_FAILURE = Duration.ofMillis(100);

    private final Workload mWorkload;
    private final Duration mDuration;
    private final int mClosedLoopCallers;
    private final LongSupplier mNanoClock;
    private final RequestPlanner mPlanner;
    private final ArrivalTimes mArrivals;
    private final LoadRecorder mRecorder = new LoadRecorder();
    private final LoadClient mClient;
    private final ScheduledExecutorService mScheduler =
            Executors.newSingleThreadScheduledExecutor();
    private final AtomicInteger mInProgress =
            new AtomicInteger(1); // counts the run itself until it is stopped
    private final CompletableFuture<LoadResult> mResult = new CompletableFuture<>();
    private volatile boolean mStopped;
    private volatile long mStartedAt;

    private LoadRun(final Builder builder) {
        mWorkload = builder.mWorkload;
        mDuration = builder.mDuration;
        mClosedLoopCallers = builder.mClosedLoopCallers;
        mNanoClock = builder.mNanoClock;
        mPlanner = new RequestPlanner(mWorkload, builder.mSeed);
        mArrivals = new ArrivalTimes(builder.mRequestsPerSecond, builder.mSeed);
        mClient = new LoadClient(builder.mConfig, mRecorder, mNanoClock, builder.mSeed);
    }

    /**
     * Creates a builder.
     *
     * @param workload the customers and kinds of request
     * @param config addresses and time limits
     * @return the builder
     */
    public static Builder builder(final Workload workload, final CallerConfig config) {
        return new Builder(workload, config);
    }

    /**
     * Starts the run; it may be started once.
     *
     * @return completes with the result after the duration, when every request has ended
     */
    public CompletableFuture<LoadResult> start() {
        mStartedAt = mNanoClock.getAsLong();
        mScheduler.schedule(this::stop, mDuration.toNanos(), TimeUnit.NANOSECONDS);
        if (mClosedLoopCallers > 0) {
            for (int caller = 0; caller < mClosedLoopCallers; caller++) {
                mScheduler.execute(this::startClosedLoopRequest);
            }
        } else {
            scheduleArrival();
        }
        return mResult;
    }

    /** Stops starting requests; requests in progress continue to their end. */
    public synchronized void stop() {
        if (!mStopped) {
            mStopped = true;
            releaseInProgress();
        }
    }

    /** Returns the results of the requests that have ended so far. */
    public LoadResult currentResult() {
        return mRecorder.snapshot(
                mWorkload.name(), Duration.ofNanos(mNanoClock.getAsLong() - mStartedAt));
    }

    private void scheduleArrival() {
        final long due = mStartedAt + mArrivals.next();
        mScheduler.schedule(
                () -> startArrival(due), due - mNanoClock.getAsLong(), TimeUnit.NANOSECONDS);
    }

    private synchronized void startArrival(final long due) {
        if (!mStopped) {
            startRequest(due);
            scheduleArrival();
        }
    }

    private synchronized void startClosedLoopRequest() {
        if (!mStopped) {
            startRequest(mNanoClock.getAsLong()).thenAccept(this::scheduleClosedLoopRequest);
        }
    }

    private void scheduleClosedLoopRequest(final RequestResult result) {
        final boolean failed = result.outcome() != RequestOutcome.COMPLETED;
        // Refusals arrive at once; without a pause the caller would send in a tight loop.
        final Duration pause = failed ? PAUSE_AFTER_FAILURE : Duration.ZERO;
        mScheduler.schedule(this::startClosedLoopRequest, pause.toNanos(), TimeUnit.NANOSECONDS);
    }

    private CompletableFuture<RequestResult> startRequest(final long startedAt) {
        mInProgress.incrementAndGet();
        final PlannedRequest request = mPlanner.next();
        final CompletableFuture<RequestResult> result = mClient.call(request, startedAt);
        result.thenRun(this::releaseInProgress);
        return result;
    }

    private void releaseInProgress() {
        if (mInProgress.decrementAndGet() == 0) {
            mResult.complete(currentResult());
            mScheduler.shutdownNow();
            mClient.close();
        }
    }

    /** Builds a {@link LoadRun}. */
    public static final class Builder {
        private static final int DEFAULT_REQUESTS_PER_SECOND = 50;
        private static final Duration DEFAULT_DURATION = Duration.ofSeconds(30);

        private final Workload mWorkload;
        private final CallerConfig mConfig;
        private Duration mDuration = DEFAULT_DURATION;
        private int mRequestsPerSecond = DEFAULT_REQUESTS_PER_SECOND;
        private int mClosedLoopCallers;
        private long mSeed = 1;
        private LongSupplier mNanoClock = System::nanoTime;

        private Builder(final Workload workload, final CallerConfig config) {
            mWorkload = Objects.requireNonNull(workload, "mix");
            mConfig = Objects.requireNonNull(config, "config");
        }

        /** Sets the time during which requests are started; 30 s by default. */
        public Builder duration(final Duration duration) {
            mDuration = Arguments.requirePositive(duration, "duration");
            return this;
        }

        /** Sets the mean rate of the open loop; 50 requests per second by default. */
        public Builder requestsPerSecond(final int perSecond) {
            Arguments.requireAtLeast(perSecond, 1, "perSecond");
            mRequestsPerSecond = perSecond;
            return this;
        }

        /** Sets the number of callers of a closed loop; 0, the default, selects the open loop. */
        public Builder closedLoopCallers(final int callers) {
            Arguments.requireAtLeast(callers, 0, "callers");
            mClosedLoopCallers = callers;
            return this;
        }

        /** Sets the seed of requests, arrivals and the selection of daemons; 1 by default. */
        public Builder seed(final long seed) {
            mSeed = seed;
            return this;
        }

        /** Sets the clock, in nanoseconds from any origin; {@link System#nanoTime} by default. */
        public Builder nanoClock(final LongSupplier nanoClock) {
            mNanoClock = Objects.requireNonNull(nanoClock, "nanos");
            return this;
        }

        /** Creates the run and its threads; {@link LoadRun#start} must be called to end them. */
        public LoadRun build() {
            return new LoadRun(this);
        }
    }
}
