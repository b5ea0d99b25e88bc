package org.whinhead.gateway.exchange;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Objects;
import java.util.Optional;
import java.util.Random;
import org.whinhead.serving.admission.ServiceAdmission;
import org.whinhead.serving.balance.EndpointChooser;
import org.whinhead.serving.configuration.ConfigurationHolder;
import org.whinhead.serving.configuration.ConfigurationProgress;
import org.whinhead.serving.configuration.ServiceSpec;
import org.whinhead.serving.configuration.ServingConfiguration;
import org.whinhead.serving.connection.ConnectionLimits;
import org.whinhead.serving.crash.CrashSuspects;
import org.whinhead.serving.crash.UsualRequests;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.endpoint.EndpointRegistry;
import org.whinhead.serving.endpoint.ReclaimedEndpoints;
import org.whinhead.serving.endpoint.StatedDepartures;
import org.whinhead.serving.limit.BrittleEndpoints;
import org.whinhead.serving.limit.RequestedPauses;
import org.whinhead.serving.limit.ServiceRetryBudget;
import org.whinhead.serving.pool.PoolPolicy;
import org.whinhead.serving.quota.ClockReading;
import org.whinhead.serving.quota.CustomerQuotas;
import org.whinhead.serving.ratelimit.PermitTransport;
import org.whinhead.serving.ratelimit.RequestPermits;
import org.whinhead.serving.ratelimit.StatedLimits;
import org.whinhead.serving.reach.EndpointReach;
import org.whinhead.serving.rollout.Rollouts;
import org.whinhead.serving.stop.StopSchedule;
import org.whinhead.serving.stream.KnownStreams;
import org.whinhead.serving.stream.ResumableTimes;
import org.whinhead.serving.stream.ServedVersions;
import org.whinhead.serving.usage.FleetClock;
import org.whinhead.serving.usage.UsageLedger;
import org.whinhead.serving.usage.UsageWindows;

/** The decision objects of a daemon, all of which are used on its event loop only. */
public final class ServingState {

    /**
     * The copy rate above which engines are assumed to copy a prompt faster than they process it:
     * twice the rate at which the fastest known engine processes prompts.
     */
    private static final double MIN_COPY_TOKENS_PER_MILLISECOND = 100;

    /** Far more permits than a daemon asks for, so that a later process has other ids. */
    private static final long PERMIT_IDS_PER_MILLISECOND = 1_000;

    private final InstantSource mClock;
    private final InstantSource mTimeOfDay;
    private final ConfigurationHolder mConfiguration = new ConfigurationHolder();
    private final ConfigurationProgress mConfigurationProgress = new ConfigurationProgress();
    private final EndpointRegistry mEndpoints = new EndpointRegistry();
    private final ReclaimedEndpoints mLeaving = new ReclaimedEndpoints();
    private final EndpointReach mReach = new EndpointReach();
    private final BrittleEndpoints mBrittle = new BrittleEndpoints();
    private final StatedDepartures mDepartures = new StatedDepartures();
    private final RequestedPauses mPauses = new RequestedPauses(new Random());
    private final StatedLimits mRequestLimits = new StatedLimits();
    private final ConnectionLimits mConnectionLimits = new ConnectionLimits();
    private final ServiceAdmission mAdmission = new ServiceAdmission(new Random());
    private final CrashSuspects mSuspects = new CrashSuspects();
    private final UsualRequests mUsual = new UsualRequests();
    private final KnownStreams mStreams = new KnownStreams();
    private final ServedVersions mVersions = new ServedVersions();
    private final ResumableTimes mResumableTimes = new ResumableTimes();
    private final EndpointChooser mChooser;
    private final CustomerQuotas mQuotas;
    private final ServiceRetryBudget mRetryBudget;
    private final UsageLedger mUsage;
    private final UsageWindows mUsageWindows;
    private final FleetClock mUsageClock;
    private final Rollouts mRollouts;
    private final EndpointSelection mSelection;
    private final RequestPermits mPermits;
    private final PoolPolicy mPools;
    private Optional<StopSchedule> mStop = Optional.empty();

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
        mSelection = new EndpointSelection(this);
        mPools = Objects.requireNonNull(builder.mPools, "pools");
        mPermits =
                new RequestPermits(
                        Objects.requireNonNull(builder.mPeerAddress, "peerAddress"),
                        mClock.instant().toEpochMilli() * PERMIT_IDS_PER_MILLISECOND,
                        mRequestLimits,
                        mEndpoints::find,
                        Objects.requireNonNull(builder.mPermitTransport, "permitTransport"));
    }

    /**
     * Returns a builder of a state.
     *
     * @return a builder without any parts
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
     * Returns the current time of both clocks.
     *
     * @return the moment
     */
    public ClockReading moment() {
        return new ClockReading(mClock.instant(), mTimeOfDay.instant());
    }

    /**
     * Returns the clock that assigns usage to windows.
     *
     * @return the time of day on which the daemons agree
     */
    public FleetClock usageClock() {
        return mUsageClock;
    }

    public ConfigurationHolder configuration() {
        return mConfiguration;
    }

    /**
     * Puts a configuration in force if it is newer than the current one.
     *
     * @param candidate the configuration
     * @return whether it is in force now and was not before
     */
    public boolean offerConfiguration(final ServingConfiguration candidate) {
        final boolean newer = mConfiguration.offer(candidate);
        if (newer) {
            mConfigurationProgress.recordInForce(candidate.version(), mClock.instant());
        }
        return newer;
    }

    public ConfigurationProgress configurationProgress() {
        return mConfigurationProgress;
    }

    /**
     * Returns whether a service's endpoints copy cached prompts from each other faster than they
     * process them.
     *
     * @param service the service
     * @return true if a request may name an endpoint to copy the prompt from
     */
    boolean canCopyPrompts(final String service) {
        return mConfiguration
                .current()
                .flatMap(current -> current.service(service))
                .flatMap(ServiceSpec::engineLink)
                .filter(link -> link.tokensPerMillisecond() > MIN_COPY_TOKENS_PER_MILLISECOND)
                .isPresent();
    }

    /**
     * Returns the path of a service's health check.
     *
     * @param service the service
     * @return the path; the root if the service is not configured
     */
    public String healthPath(final String service) {
        return mConfiguration
                .current()
                .flatMap(current -> current.service(service))
                .map(ServiceSpec::healthPath)
                .orElse("/");
    }

    /**
     * Returns whether a service's endpoints are model engines.
     *
     * @param service the service
     * @return true if they run language models
     */
    boolean isEngine(final String service) {
        return mConfiguration
                .current()
                .flatMap(current -> current.service(service))
                .filter(ServiceSpec::modelEngine)
                .isPresent();
    }

    /**
     * Returns the admission of requests to services whose endpoints are busy.
     *
     * @return the admission
     */
    public ServiceAdmission admission() {
        return mAdmission;
    }

    /**
     * Returns the division of the connections to endpoints between the daemons.
     *
     * @return the limits
     */
    public ConnectionLimits connectionLimits() {
        return mConnectionLimits;
    }

    /**
     * Returns the connections that this daemon may hold to one endpoint of a service.
     *
     * @param service the service
     * @return this daemon's part; not limited if the service is not configured
     */
    public int connectionPart(final String service) {
        return mConfiguration
                .current()
                .flatMap(current -> current.service(service))
                .map(mConnectionLimits::part)
                .orElse(Integer.MAX_VALUE);
    }

    public EndpointRegistry endpoints() {
        return mEndpoints;
    }

    public Rollouts rollouts() {
        return mRollouts;
    }

    /**
     * Returns the selection of endpoints that may receive a request.
     *
     * @return the selection
     */
    EndpointSelection selection() {
        return mSelection;
    }

    /**
     * Returns whether a request may be sent to an endpoint now.
     *
     * @param endpoint the endpoint
     * @return false if it leaves, is gone, or has asked for a pause
     */
    public boolean mayReceive(final EndpointEntry endpoint) {
        return mSelection.mayReceive(endpoint);
    }

    /**
     * Returns the limits at brittle endpoints.
     *
     * @return the limits
     */
    public BrittleEndpoints brittle() {
        return mBrittle;
    }

    /**
     * Returns the endpoints that have said in a response that they leave.
     *
     * @return the departures
     */
    public StatedDepartures departures() {
        return mDepartures;
    }

    /**
     * Returns the pauses for which endpoints have asked this daemon.
     *
     * @return the pauses
     */
    public RequestedPauses pauses() {
        return mPauses;
    }

    /**
     * Returns the limits of requests per second that endpoints name.
     *
     * @return the limits
     */
    public StatedLimits requestLimits() {
        return mRequestLimits;
    }

    /**
     * Returns the permits for requests to endpoints that name such a limit.
     *
     * @return the permits
     */
    public RequestPermits permits() {
        return mPermits;
    }

    /**
     * Returns the requests that were on endpoints that crashed.
     *
     * @return the suspected requests
     */
    public CrashSuspects suspects() {
        return mSuspects;
    }

    /**
     * Returns the requests that were answered lately.
     *
     * @return the requests
     */
    public UsualRequests usual() {
        return mUsual;
    }

    /**
     * Returns the streams whose origin this daemon knows.
     *
     * @return the streams
     */
    public KnownStreams streams() {
        return mStreams;
    }

    /**
     * Returns the software versions that services were listed with.
     *
     * @return the versions
     */
    public ServedVersions versions() {
        return mVersions;
    }

    /**
     * Returns the times for which callers may resume streams.
     *
     * @return the times
     */
    public ResumableTimes resumableTimes() {
        return mResumableTimes;
    }

    /** Observes the versions of the listed endpoints; to be called several times a second. */
    public void observeVersions() {
        mVersions.observe(mEndpoints.all(), mClock.instant());
    }

    /**
     * Returns the leaving endpoints that still serve.
     *
     * @return the endpoints
     */
    public ReclaimedEndpoints leaving() {
        return mLeaving;
    }

    /**
     * Returns which endpoints this daemon reaches itself.
     *
     * @return the ways to the endpoints
     */
    public EndpointReach reach() {
        return mReach;
    }

    /**
     * Returns the decisions about shared endpoints that this deployment asks for.
     *
     * @return the policy
     */
    public PoolPolicy pools() {
        return mPools;
    }

    /**
     * Records that this daemon stops.
     *
     * @param schedule the schedule of the stop
     */
    public void beginStop(final StopSchedule schedule) {
        mStop = Optional.of(schedule);
    }

    /**
     * Returns the schedule of the stop.
     *
     * @return the schedule; empty before the daemon is told to stop
     */
    public Optional<StopSchedule> stop() {
        return mStop;
    }

    /**
     * Returns whether the process lasts as long as a request may take.
     *
     * @param deadline the time by which the request has an answer at the latest
     * @return false if the daemon stops and ends before
     */
    public boolean outlasts(final Instant deadline) {
        return mStop.map(schedule -> schedule.outlasts(deadline)).orElse(true);
    }

    public EndpointChooser chooser() {
        return mChooser;
    }

    public CustomerQuotas quotas() {
        return mQuotas;
    }

    public ServiceRetryBudget retryBudget() {
        return mRetryBudget;
    }

    public UsageLedger usage() {
        return mUsage;
    }

    public UsageWindows usageWindows() {
        return mUsageWindows;
    }

    /** Builds a {@link ServingState}. */
    public static final class Builder {

        private InstantSource mClock;
        private InstantSource mTimeOfDay;
        private EndpointChooser mChooser;
        private CustomerQuotas mQuotas;
        private ServiceRetryBudget mRetryBudget;
        private UsageLedger mUsage;
        private UsageWindows mUsageWindows;
        private boolean mRolloutsInForce;
        private InetSocketAddress mPeerAddress;
        private PermitTransport mPermitTransport;
        private PoolPolicy mPools = PoolPolicy.OFF;

        private Builder() {}

        /**
         * Sets the clocks.
         *
         * @param clock the monotonic clock
         * @param timeOfDay the time of day
         * @return this builder
         */
        public Builder clocks(final InstantSource clock, final InstantSource timeOfDay) {
            mClock = clock;
            mTimeOfDay = timeOfDay;
            return this;
        }

        /**
         * Sets the load balancer that chooses endpoints.
         *
         * @param chooser the chooser
         * @return this builder
         */
        public Builder chooser(final EndpointChooser chooser) {
            mChooser = chooser;
            return this;
        }

        /**
         * Sets the quotas of customers and the retry budget.
         *
         * @param quotas the token quotas of customers
         * @param retryBudget the limit on the load that retries add
         * @return this builder
         */
        public Builder limits(final CustomerQuotas quotas, final ServiceRetryBudget retryBudget) {
            mQuotas = quotas;
            mRetryBudget = retryBudget;
            return this;
        }

        /**
         * Sets the counters of usage.
         *
         * @param usage the counts of started requests per customer
         * @param windows the windows in which usage is counted
         * @return this builder
         */
        public Builder usage(final UsageLedger usage, final UsageWindows windows) {
            mUsage = usage;
            mUsageWindows = windows;
            return this;
        }

        /**
         * Sets whether this deployment has roll-outs.
         *
         * @param inForce true if it has roll-outs
         * @return this builder
         */
        public Builder rollouts(final boolean inForce) {
            mRolloutsInForce = inForce;
            return this;
        }

        /**
         * Sets what the daemons need to keep to the limits of endpoints together.
         *
         * @param self the address at which other daemons reach this one
         * @param transport sends messages about permits to other daemons
         * @return this builder
         */
        public Builder permits(final InetSocketAddress self, final PermitTransport transport) {
            mPeerAddress = self;
            mPermitTransport = transport;
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
         * Creates the state.
         *
         * @return the state
         */
        public ServingState build() {
            return new ServingState(this);
        }
    }
}
