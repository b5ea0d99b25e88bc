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
 * What one run of a deployment is made of.
 *
 * @param deployment whose callers are played and whose settings are in force
 * @param requestsPerSecond rate of the open loop, at least 1
 * @param duration how long requests are started
 * @param notice how long before their end the reclaimed VMs are announced
 * @param seed the seed of requests and of which failure domain is reclaimed
 * @param speedUp how many times as fast as real engines
 * @param callerDeadline how long a caller waits for its whole answer
 * @param recovery what daemons make of the work of failed and leaving engines
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

    /** Checks every part. */
    public DemoConfig {
        Objects.requireNonNull(deployment, "deployment");
        Arguments.requireAtLeast(requestsPerSecond, 1, "perSecond");
        Arguments.requirePositive(duration, "duration");
        Objects.requireNonNull(notice, "notice");
        Arguments.requirePositive(callerDeadline, "callerDeadline");
        Objects.requireNonNull(recovery, "recovery");
    }

    /** Returns what stands where. */
    public DeploymentPlan plan() {
        return DeploymentPlan.valueOf(deployment.name());
    }

    /** Returns when the cloud announces the reclaim, counted from the first request. */
    public Duration reclaimDelay() {
        return duration.dividedBy(2);
    }

    /** Returns the failure domain that is reclaimed. */
    public FailureDomain reclaimedDomain() {
        final List<FailureDomain> domains = plan().domains();
        return domains.get((int) Math.floorMod(seed, (long) domains.size()));
    }

    /**
     * Makes the usual run of a deployment.
     *
     * @param deployment the deployment
     * @return the configuration
     */
    public static DemoConfig of(final Deployment deployment) {
        return new Builder(deployment).build();
    }

    /** Returns a builder that holds these parts. */
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

        /** Sets the requests a second; 16 by default. */
        public Builder requestsPerSecond(final int perSecond) {
            mRequestsPerSecond = perSecond;
            return this;
        }

        /** Sets how long requests are started; 22 s by default. */
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

        /** Sets how many times as fast as real engines; 1 by default. */
        public Builder speedUp(final double speedUp) {
            mSpeedUp = speedUp;
            return this;
        }

        /** Sets how long a caller waits for its whole answer; 15 s by default. */
        public Builder callerDeadline(final Duration callerDeadline) {
            mCallerDeadline = callerDeadline;
            return this;
        }

        /** Sets what daemons make of lost work; they keep what they can by default. */
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
