package org.whinhead.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.serving.capacity.CapacitySettings;
import org.whinhead.serving.member.Member;
import org.whinhead.serving.quota.QuotaTolerance;
import org.whinhead.serving.rollout.RolloutLimits;

/** What a gateway is told when it starts: immutable, made by its builder. */
public final class GatewaySettings {

    private final Member mSelf;
    private final InetSocketAddress mReadinessAddress;
    private final InetSocketAddress mDirectoryAddress;
    private final InetSocketAddress mMetricsAddress;
    private final List<InetSocketAddress> mContacts;
    private final double mRetryShare;
    private final int mRetryFixed;
    private final Duration mRetryWindow;
    private final QuotaTolerance mQuotaTolerance;
    private final Duration mUsageWindow;
    private final Duration mLeaseTerm;
    private final Duration mStopGrace;
    private final CapacitySettings mCapacity;
    private final Optional<RolloutLimits> mRollouts;

    private GatewaySettings(final Builder builder) {
        mSelf = Objects.requireNonNull(builder.mSelf, "self");
        mReadinessAddress = Objects.requireNonNull(builder.mReadinessAddress, "readinessAddress");
        mDirectoryAddress = Objects.requireNonNull(builder.mDirectoryAddress, "directoryAddress");
        mMetricsAddress = Objects.requireNonNull(builder.mMetricsAddress, "metricsAddress");
        mContacts = List.copyOf(builder.mContacts);
        mRetryShare = builder.mRetryShare;
        mRetryFixed = builder.mRetryFixed;
        mRetryWindow = Objects.requireNonNull(builder.mRetryWindow, "retryWindow");
        mQuotaTolerance = Objects.requireNonNull(builder.mQuotaTolerance, "quotaTolerance");
        mUsageWindow = Objects.requireNonNull(builder.mUsageWindow, "usageWindow");
        mLeaseTerm = Objects.requireNonNull(builder.mLeaseTerm, "leaseTerm");
        mStopGrace = Objects.requireNonNull(builder.mStopGrace, "stopGrace");
        mCapacity = Objects.requireNonNull(builder.mCapacity, "capacity");
        mRollouts = builder.mRollouts;
    }

    /**
     * Starts settings.
     *
     * @return a builder
     */
    public static Builder builder() {
        return new Builder();
    }

    public Member self() {
        return mSelf;
    }

    public InetSocketAddress readinessAddress() {
        return mReadinessAddress;
    }

    public InetSocketAddress directoryAddress() {
        return mDirectoryAddress;
    }

    public InetSocketAddress metricsAddress() {
        return mMetricsAddress;
    }

    public List<InetSocketAddress> contacts() {
        return mContacts;
    }

    public double retryShare() {
        return mRetryShare;
    }

    public int retryFixed() {
        return mRetryFixed;
    }

    public Duration retryWindow() {
        return mRetryWindow;
    }

    public QuotaTolerance quotaTolerance() {
        return mQuotaTolerance;
    }

    public Duration usageWindow() {
        return mUsageWindow;
    }

    public Duration leaseTerm() {
        return mLeaseTerm;
    }

    public Duration stopGrace() {
        return mStopGrace;
    }

    /**
     * Tells what a bad version may get in a roll-out.
     *
     * @return the limits; empty if this deployment has no roll-outs
     */
    public Optional<RolloutLimits> rollouts() {
        return mRollouts;
    }

    public CapacitySettings capacity() {
        return mCapacity;
    }

    /** Collects the parts of settings. */
    public static final class Builder {

        private Member mSelf;
        private InetSocketAddress mReadinessAddress;
        private InetSocketAddress mDirectoryAddress;
        private InetSocketAddress mMetricsAddress;
        private List<InetSocketAddress> mContacts = List.of();
        private double mRetryShare;
        private int mRetryFixed;
        private Duration mRetryWindow;
        private QuotaTolerance mQuotaTolerance;
        private Duration mUsageWindow;
        private Duration mLeaseTerm;
        private Duration mStopGrace;
        private CapacitySettings mCapacity;
        private Optional<RolloutLimits> mRollouts = Optional.empty();

        private Builder() {}

        /**
         * Sets who this daemon is and where callers and other daemons reach it.
         *
         * @param self this daemon
         * @return this builder
         */
        public Builder self(final Member self) {
            mSelf = self;
            return this;
        }

        /**
         * Sets where small calls are answered.
         *
         * @param readinessAddress where the platform asks whether this daemon is ready
         * @param directoryAddress where callers ask which addresses to use
         * @param metricsAddress where metrics are read
         * @return this builder
         */
        public Builder statusAddresses(
                final InetSocketAddress readinessAddress,
                final InetSocketAddress directoryAddress,
                final InetSocketAddress metricsAddress) {
            mReadinessAddress = readinessAddress;
            mDirectoryAddress = directoryAddress;
            mMetricsAddress = metricsAddress;
            return this;
        }

        /**
         * Sets where other daemons may be found.
         *
         * @param contacts addresses for reports; some may be stale
         * @return this builder
         */
        public Builder contacts(final List<InetSocketAddress> contacts) {
            mContacts = contacts;
            return this;
        }

        /**
         * Sets what retries may add.
         *
         * @param share retries that each request adds
         * @param fixed retries that all daemons together may add besides
         * @param window the time in which they are counted
         * @return this builder
         */
        public Builder retries(final double share, final int fixed, final Duration window) {
            mRetryShare = share;
            mRetryFixed = fixed;
            mRetryWindow = window;
            return this;
        }

        /**
         * Sets how the spending of customers is measured.
         *
         * @param quotaTolerance window and tolerance
         * @return this builder
         */
        public Builder quotaTolerance(final QuotaTolerance quotaTolerance) {
            mQuotaTolerance = quotaTolerance;
            return this;
        }

        /**
         * Sets the times of the duties.
         *
         * @param usageWindow the length of a usage window
         * @param leaseTerm the time within which no two holders may act by turns
         * @return this builder
         */
        public Builder duties(final Duration usageWindow, final Duration leaseTerm) {
            mUsageWindow = usageWindow;
            mLeaseTerm = leaseTerm;
            return this;
        }

        /**
         * Sets how long a planned stop may take.
         *
         * @param stopGrace the time from the signal to the kill
         * @return this builder
         */
        public Builder stopGrace(final Duration stopGrace) {
            mStopGrace = stopGrace;
            return this;
        }

        /**
         * Sets how much capacity a scaled service keeps for its demand.
         *
         * @param capacity the settings
         * @return this builder
         */
        public Builder capacity(final CapacitySettings capacity) {
            mCapacity = capacity;
            return this;
        }

        /**
         * Sets what a bad version may get in a roll-out.
         *
         * @param rollouts the limits; empty if this deployment has no roll-outs
         * @return this builder
         */
        public Builder rollouts(final Optional<RolloutLimits> rollouts) {
            mRollouts = rollouts;
            return this;
        }

        /**
         * Makes the settings.
         *
         * @return the settings
         */
        public GatewaySettings build() {
            return new GatewaySettings(this);
        }
    }
}
