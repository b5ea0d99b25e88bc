package org.whinhead.gateway.exchange;

import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Objects;
import org.whinhead.serving.balance.EndpointChooser;
import org.whinhead.serving.configuration.ConfigurationHolder;
import org.whinhead.serving.configuration.ServiceSpec;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.endpoint.EndpointRegistry;
import org.whinhead.serving.endpoint.ReclaimedEndpoints;
import org.whinhead.serving.limit.RetryBudget;
import org.whinhead.serving.quota.ClockReading;
import org.whinhead.serving.quota.CustomerQuotas;
import org.whinhead.serving.rollout.Rollouts;
import org.whinhead.serving.usage.FleetClock;
import org.whinhead.serving.usage.UsageLedger;
import org.whinhead.serving.usage.UsageWindows;

/** The decision objects of a daemon; all are used on its event loop only. */
public final class ServingState {

    /**
     * Tokens in a millisecond from which engines are taken to copy a prompt faster than they read
     * it: twice what the fastest known one reads.
     */
    private static final double MIN_COPY_TOKENS_PER_MILLISECOND = 100;

    private final InstantSource mClock;
    private final InstantSource mTimeOfDay;
    private final ConfigurationHolder mConfiguration = new ConfigurationHolder();
    private final EndpointRegistry mEndpoints = new EndpointRegistry();
    private final ReclaimedEndpoints mLeaving = new ReclaimedEndpoints();
    private final EndpointChooser mChooser;
    private final CustomerQuotas mQuotas;
    private final RetryBudget mRetryBudget;
    private final UsageLedger mUsage;
    private final UsageWindows mUsageWindows;
    private final FleetClock mUsageClock;
    private final Rollouts mRollouts;

    private ServingState(final Builder builder) {
        mClock = Objects.requireNonNull(builder.mClock, "clock");
        mTimeOfDay = Objects.requireNonNull(builder.mTimeOfDay, "timeOfDay");
        mUsageClock = new FleetClock(mClock, mTimeOfDay);
        mChooser = Objects.requireNonNull(builder.mChooser, "chooser");
        mQuotas = Objects.requireNonNull(builder.mQuotas, "quotas");
        mRetryBudget = Objects.requireNonNull(builder.mRetryBudget, "retryBudget");
        mUsage = Objects.requireNonNull(builder.mUsage, "usage");
        mUsageWindows = Objects.requireNonNull(builder.mUsageWindows, "usageWindows");
        mRollouts = new Rollouts(builder.mRolloutsInForce);
    }

    /**
     * Starts a state.
     *
     * @return a builder
     */
    public static Builder builder() {
        return new Builder();
    }

    public InstantSource clock() {
        return mClock;
    }

    public InstantSource timeOfDay() {
        return mTimeOfDay;
    }

    /**
     * Returns the present by both clocks.
     *
     * @return the moment
     */
    public ClockReading moment() {
        return new ClockReading(mClock.instant(), mTimeOfDay.instant());
    }

    /**
     * Returns the clock by which usage is counted.
     *
     * @return the time of day that the daemons agree on
     */
    public FleetClock usageClock() {
        return mUsageClock;
    }

    public ConfigurationHolder configuration() {
        return mConfiguration;
    }

    /**
     * Tells whether a service's endpoints copy cached prompts from each other faster than they read
     * them.
     *
     * @param service the service
     * @return whether a request may name an endpoint to copy from
     */
    boolean canCopyPrompts(final String service) {
        return mConfiguration
                .current()
                .flatMap(current -> current.service(service))
                .flatMap(ServiceSpec::engineLink)
                .filter(link -> link.tokensPerMillisecond() > MIN_COPY_TOKENS_PER_MILLISECOND)
                .isPresent();
    }

    public EndpointRegistry endpoints() {
        return mEndpoints;
    }

    public Rollouts rollouts() {
        return mRollouts;
    }

    /**
     * Lists the endpoints that may get a request.
     *
     * @param service its service
     * @param route its route
     * @param requestId its id
     * @param repeated whether it was sent before
     * @return the endpoints
     */
    List<EndpointEntry> candidates(
            final String service,
            final String route,
            final String requestId,
            final boolean repeated) {
        final Instant now = mClock.instant();
        return mRollouts.candidates(
                service, serving(service, now), route, requestId, repeated, now);
    }

    /**
     * Lists the endpoints that may get a request which was sent before.
     *
     * @param service its service
     * @param requestId its id
     * @return the endpoints
     */
    List<EndpointEntry> retryCandidates(final String service, final String requestId) {
        final Instant now = mClock.instant();
        return mRollouts.candidates(service, serving(service, now), requestId, true, now);
    }

    private List<EndpointEntry> serving(final String service, final Instant now) {
        final List<EndpointEntry> usable = mEndpoints.usable(service);
        return usable.isEmpty() ? mLeaving.lastResort(service, now) : usable;
    }

    /**
     * Finds the endpoints that leave and still serve.
     *
     * @return the endpoints
     */
    public ReclaimedEndpoints leaving() {
        return mLeaving;
    }

    public EndpointChooser chooser() {
        return mChooser;
    }

    public CustomerQuotas quotas() {
        return mQuotas;
    }

    public RetryBudget retryBudget() {
        return mRetryBudget;
    }

    public UsageLedger usage() {
        return mUsage;
    }

    public UsageWindows usageWindows() {
        return mUsageWindows;
    }

    /** Collects the parts of a state. */
    public static final class Builder {

        private InstantSource mClock;
        private InstantSource mTimeOfDay;
        private EndpointChooser mChooser;
        private CustomerQuotas mQuotas;
        private RetryBudget mRetryBudget;
        private UsageLedger mUsage;
        private UsageWindows mUsageWindows;
        private boolean mRolloutsInForce;

        private Builder() {}

        /**
         * Sets the clocks.
         *
         * @param clock the steady clock
         * @param timeOfDay the time of day
         * @return this builder
         */
        public Builder clocks(final InstantSource clock, final InstantSource timeOfDay) {
            mClock = clock;
            mTimeOfDay = timeOfDay;
            return this;
        }

        /**
         * Sets the choice of endpoints.
         *
         * @param chooser the chooser
         * @return this builder
         */
        public Builder chooser(final EndpointChooser chooser) {
            mChooser = chooser;
            return this;
        }

        /**
         * Sets the limits.
         *
         * @param quotas what customers may spend
         * @param retryBudget what retries may add
         * @return this builder
         */
        public Builder limits(final CustomerQuotas quotas, final RetryBudget retryBudget) {
            mQuotas = quotas;
            mRetryBudget = retryBudget;
            return this;
        }

        /**
         * Sets where usage is counted.
         *
         * @param usage the counts
         * @param windows the windows
         * @return this builder
         */
        public Builder usage(final UsageLedger usage, final UsageWindows windows) {
            mUsage = usage;
            mUsageWindows = windows;
            return this;
        }

        /**
         * Sets whether there are roll-outs in this deployment.
         *
         * @param inForce whether there are
         * @return this builder
         */
        public Builder rollouts(final boolean inForce) {
            mRolloutsInForce = inForce;
            return this;
        }

        /**
         * Makes the state.
         *
         * @return the state
         */
        public ServingState build() {
            return new ServingState(this);
        }
    }
}
