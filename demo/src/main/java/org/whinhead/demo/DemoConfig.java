package org.whinhead.demo;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.requests.RecoveryMode;
import org.whinhead.standins.deployment.DeploymentPlan;
import org.whinhead.standins.load.mix.Deployment;

/**
 * The configuration of one run of a deployment.
 *
 * @param deployment the deployment whose callers are simulated and whose settings are in force
 * @param requestsPerSecond rate of the open loop, at least 1
 * @param duration the time during which requests are started
 * @param notice the time from the reclaim notice to the end of the VMs; zero for no notice
 * @param seed the seed of the requests and of the choice of the reclaimed failure domain
 * @param speedUp the factor by which the engines are faster than real ones
 * @param callerDeadline the longest time that a caller waits for its whole answer
 * @param recovery the way daemons recover the work of failed and leaving engines
 */
public record DemoConfig(
        Deployment deployment,
        int requestsPerSecond,
        Duration duration,
        Duration notice,
        long seed,
        double speedUp,
        Duration callerDeadline,
        RecoveryMode recovery) {

    /** Validates every component. */
    public DemoConfig {
        Objects.requireNonNull(deployment, "deployment");
        Arguments.requireAtLeast(requestsPerSecond, 1, "requestsPerSecond");
        Arguments.requirePositive(duration, "duration");
        Objects.requireNonNull(notice, "notice");
        Arguments.requirePositive(callerDeadline, "callerDeadline");
        Objects.requireNonNull(recovery, "recovery");
    }

    /** Returns the plan of the VMs and their failure domains. */
    public DeploymentPlan plan() {
        return DeploymentPlan.valueOf(deployment.name());
    }

    /** Returns the time from the start of the load to the reclaim notice. */
    public Duration reclaimDelay() {
        return duration.dividedBy(2);
    }

    /** Returns the failure domain that is reclaimed. */
    public FailureDomain reclaimedDomain() {
        final List<FailureDomain> domains = plan().domains();
        return domains.get((int) Math.floorMod(seed, (long) domains.size()));
    }

    /**
     * Returns the default configuration of a deployment.
     *
     * @param deployment the deployment
     * @return the configuration
     */
    public static DemoConfig of(final Deployment deployment) {
        return new Builder(deployment).build();
    }

    /** Returns a builder that is initialized with the values of this configuration. */
    public Builder toBuilder() {
        return new Builder(deployment)
                .requestsPerSecond(requestsPerSecond)
                .duration(duration)
                .notice(notice)
                .seed(seed)
                .speedUp(speedUp)
                .callerDeadline(callerDeadline)
                .recovery(recovery);
    }

    /** Builds a {@link DemoConfig}. */
    public static final class Builder {
        private final Deployment mDeployment;
        private int mRequestsPerSecond = 16;
        private Duration mDuration = Duration.ofSeconds(22);
        private Duration mNotice = Duration.ofSeconds(4);
        private long mSeed = 1;
        private double mSpeedUp = 1;
        private Duration mCallerDeadline = Duration.ofSeconds(15);
        private RecoveryMode mRecovery = RecoveryMode.KEEP_WORK;

        private Builder(final Deployment deployment) {
            mDeployment = deployment;
        }

        /** Sets the rate of the open loop in requests a second; 16 by default. */
        public Builder requestsPerSecond(final int requestsPerSecond) {
            mRequestsPerSecond = requestsPerSecond;
            return this;
        }

        /** Sets the time during which requests are started; 22 s by default. */
        public Builder duration(final Duration duration) {
            mDuration = duration;
            return this;
        }

        /** Sets the time from the notice to the end of the VMs; 4 s by default. */
        public Builder notice(final Duration notice) {
            mNotice = notice;
            return this;
        }

        /** Sets the seed; 1 by default. */
        public Builder seed(final long seed) {
            mSeed = seed;
            return this;
        }

        /** Sets the factor by which the engines are faster than real ones; 1 by default. */
        public Builder speedUp(final double speedUp) {
            mSpeedUp = speedUp;
            return this;
        }

        /** Sets the longest time that a caller waits for its whole answer; 15 s by default. */
        public Builder callerDeadline(final Duration callerDeadline) {
            mCallerDeadline = callerDeadline;
            return this;
        }

        /** Sets the way daemons recover lost work; by default they keep what they can. */
        public Builder recovery(final RecoveryMode recovery) {
            mRecovery = recovery;
            return this;
        }

        /** Builds the configuration. */
        public DemoConfig build() {
            return new DemoConfig(
                    mDeployment,
                    mRequestsPerSecond,
                    mDuration,
                    mNotice,
                    mSeed,
                    mSpeedUp,
                    mCallerDeadline,
                    mRecovery);
        }
    }
}
