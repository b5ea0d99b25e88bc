package org.whinhead.serving.admission;

import java.time.Duration;
import java.util.Objects;

/** What is known of the load of the endpoints that may receive a request. */
public final class ServiceLoad {

    /** The requests that a plain endpoint queues for each of its slots: 24 with 6 slots. */
    private static final int PLAIN_QUEUE = 4;

    /** The same for a model engine, which queues about twice its slots. */
    private static final int ENGINE_QUEUE = 2;

    private final int mSlots;
    private final boolean mEngine;
    private final RankCounts mRunning;
    private final RankCounts mWaitingElsewhere;
    private final Duration mExpectedWait;
    private final Duration mReportAge;

    private ServiceLoad(final Builder builder) {
        mSlots = builder.mSlots;
        mEngine = builder.mEngine;
        mRunning = Objects.requireNonNull(builder.mRunning, "running");
        mWaitingElsewhere = Objects.requireNonNull(builder.mWaitingElsewhere, "waitingElsewhere");
        mExpectedWait = Objects.requireNonNull(builder.mExpectedWait, "expectedWait");
        mReportAge = Objects.requireNonNull(builder.mReportAge, "reportAge");
    }

    /**
     * Returns a builder of a load.
     *
     * @return a builder without endpoints and requests
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Returns the requests that the endpoints process at once.
     *
     * @return the sum of their slots; 0 without endpoints
     */
    public int slots() {
        return mSlots;
    }

    /**
     * Returns the requests that the endpoints hold before they reject any.
     *
     * @return the slots and the places in the queues
     */
    public int places() {
        return mSlots * (1 + (mEngine ? ENGINE_QUEUE : PLAIN_QUEUE));
    }

    /**
     * Returns the requests in progress at the endpoints.
     *
     * @return those of all daemons, own ones exact and others' as last reported
     */
    public RankCounts running() {
        return mRunning;
    }

    RankCounts waitingElsewhere() {
        return mWaitingElsewhere;
    }

    Duration expectedWait() {
        return mExpectedWait;
    }

    Duration reportAge() {
        return mReportAge;
    }

    /**
     * Returns the queued requests that are served before a new one of a rank. Engines serve their
     * queue by rank, plain endpoints in the order of arrival.
     */
    int ahead(final int rank) {
        final int counted =
                mEngine ? mRunning.total() - mRunning.lessUrgentThan(rank) : mRunning.total();
        return Math.max(counted - mSlots, 0);
    }

    /** Builds a {@link ServiceLoad}. */
    public static final class Builder {

        private int mSlots;
        private boolean mEngine;
        private RankCounts mRunning = RankCounts.NONE;
        private RankCounts mWaitingElsewhere = RankCounts.NONE;
        private Duration mExpectedWait = Duration.ZERO;
        private Duration mReportAge = Duration.ZERO;

        private Builder() {}

        /**
         * Sets what the endpoints can take.
         *
         * @param slots the requests that they process at once
         * @param engine whether they are model engines, which serve their queues by rank
         * @return this builder
         */
        public Builder endpoints(final int slots, final boolean engine) {
            mSlots = slots;
            mEngine = engine;
            return this;
        }

        /**
         * Sets the requests over all daemons.
         *
         * @param running those in progress at the endpoints
         * @param waitingElsewhere those that wait at other daemons
         * @param reportAge the mean age of the reports that count
         * @return this builder
         */
        public Builder requests(
                final RankCounts running,
                final RankCounts waitingElsewhere,
                final Duration reportAge) {
            mRunning = running;
            mWaitingElsewhere = waitingElsewhere;
            mReportAge = reportAge;
            return this;
        }

        /**
         * Sets the wait at the endpoints by the estimate that chooses among them.
         *
         * @param expectedWait the shortest expected wait of the request
         * @return this builder
         */
        public Builder expectedWait(final Duration expectedWait) {
            mExpectedWait = expectedWait;
            return this;
        }

        /**
         * Creates the load.
         *
         * @return the load
         */
        public ServiceLoad build() {
            return new ServiceLoad(this);
        }
    }
}
