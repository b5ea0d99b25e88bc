package org.whinhead.gateway;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.serving.capacity.CapacitySettings;
import org.whinhead.serving.member.Member;
import org.whinhead.serving.pool.PoolPolicy;
import org.whinhead.serving.quota.QuotaTolerance;
import org.whinhead.serving.rollout.RolloutLimits;

/** The immutable settings of a gateway, read at its start. */
public final class GatewaySettings {

    private final Member mSelf;
    private final InetSocketAddress mReadinessAddress;
    private final InetSocketAddress mDirectoryAddress;
    private final InetSocketAddress mMetricsAddress;
    private final InetSocketAddress mRelayAddress;
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
    private final PoolPolicy mPools;

    private GatewaySettings(final Builder builder) {
        mSelf = Objects.requireNonNull(builder.mSelf, "self");
        mReadinessAddress = Objects.requireNonNull(builder.mReadinessAddress, "readinessAddress");
        mDirectoryAddress = Objects.requireNonNull(builder.mDirectoryAddress, "directoryAddress");
        mMetricsAddress = Objects.requireNonNull(builder.mMetricsAddress, "metricsAddress");
        mRelayAddress = Objects.requireNonNull(builder.mRelayAddress, "relayAddress");
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
        mPools = Objects.requireNonNull(builder.mPools, "pools");
    }

    /**
     * Returns a builder of settings.
     *
     * @return a builder without the required settings
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

    /**
     * Returns the address at which this daemon relays connections to endpoints for other daemons.
     *
     * @return the address
     */
    public InetSocketAddress relayAddress() {
        return mRelayAddress;
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
     * Returns the limits on the traffic that a bad version may get in a roll-out.
     *
     * @return the limits; empty if this deployment has no roll-outs
     */
    public Optional<RolloutLimits> rollouts() {
        return mRollouts;
    }

    public CapacitySettings capacity() {
        return mCapacity;
    }

    /**
     * Returns the decisions about shared endpoints that this deployment asks for.
     *
     * @return the policy, {@link PoolPolicy#OFF} unless set
     */
    public PoolPolicy pools() {
        return mPools;
    }

    /** Builds {@link GatewaySettings}. */
    public static final class Builder {

        private Member mSelf;
        private InetSocketAddress mReadinessAddress;
        private InetSocketAddress mDirectoryAddress;
        private InetSocketAddress mMetricsAddress;
        private InetSocketAddress mRelayAddress;
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
        private PoolPolicy mPools = PoolPolicy.OFF;

        private Builder() {}

        /**
         * Sets the identity of this daemon and its addresses for callers and other daemons.
         *
         * @param self this daemon
         * @return this builder
         */
        public Builder self(final Member self) {
            mSelf = self;
            return this;
        }

        /**
         * Sets the addresses of the readiness, directory and metrics servers.
         *
         * @param readinessAddress the address at which the platform checks readiness
         * @param directoryAddress the address at which callers look up the daemons' addresses
         * @param metricsAddress the address at which metrics are scraped
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
         * Sets the address at which this daemon relays connections for other daemons.
         *
         * @param relayAddress the address
         * @return this builder
         */
        public Builder relayAddress(final InetSocketAddress relayAddress) {
            mRelayAddress = relayAddress;
            return this;
        }

        /**
         * Sets the addresses by which other daemons are first contacted.
         *
         * @param contacts peer addresses; some may be stale
         * @return this builder
         */
        public Builder contacts(final List<InetSocketAddress> contacts) {
            mContacts = contacts;
            return this;
        }

        /**
         * Sets the retry budget.
         *
         * @param share the number of retries that each request adds to the budget
         * @param fixed the additional retries per window, for all daemons together
         * @param window the time window in which requests and retries are counted
         * @return this builder
         */
        public Builder retries(final double share, final int fixed, final Duration window) {
            mRetryShare = share;
            mRetryFixed = fixed;
            mRetryWindow = window;
            return this;
        }

        /**
         * Sets how the token use of customers is limited.
         *
         * @param quotaTolerance the window and the tolerance of customer quotas
         * @return this builder
         */
        public Builder quotaTolerance(final QuotaTolerance quotaTolerance) {
            mQuotaTolerance = quotaTolerance;
            return this;
        }

        /**
         * Sets the durations of the duties of the lease holder.
         *
         * @param usageWindow the length of a usage window
         * @param leaseTerm the duration of a lease, in which only one daemon acts as holder
         * @return this builder
         */
        public Builder duties(final Duration usageWindow, final Duration leaseTerm) {
            mUsageWindow = usageWindow;
            mLeaseTerm = leaseTerm;
            return this;
        }

        /**
         * Sets the grace period of a planned stop.
         *
         * @param stopGrace the time from the stop signal until the process is killed
         * @return this builder
         */
        public Builder stopGrace(final Duration stopGrace) {
            mStopGrace = stopGrace;
            return this;
        }

        /**
         * Sets how capacity is planned for the demand of a scaled service.
         *
         * @param capacity the capacity settings
         * @return this builder
         */
        public Builder capacity(final CapacitySettings capacity) {
            mCapacity = capacity;
            return this;
        }

        /**
         * Sets the limits on the traffic that a bad version may get in a roll-out.
         *
         * @param rollouts the limits; empty if this deployment has no roll-outs
         * @return this builder
         */
        public Builder rollouts(final Optional<RolloutLimits> rollouts) {
            mRollouts = rollouts;
            return this;
        }

        /**
         * Sets the decisions about endpoints that many daemons share.
         *
         * @param pools the policy
         * @return this builder
         */
        public Builder pools(final PoolPolicy pools) {
            mPools = pools;
            return this;
        }

        /**
         * Creates the settings.
         *
         * @return the settings
         */
        public GatewaySettings build() {
            return new GatewaySettings(this);
        }
    }
}
