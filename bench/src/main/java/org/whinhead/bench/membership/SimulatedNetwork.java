package org.whinhead.bench.membership;

import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import org.whinhead.api.model.FailureDomain;

/** Simulated network with random delays, message loss and a partition between regions. */
final class SimulatedNetwork {

    private static final int SAME_REGION_MIN_MICROS = 1_000;
    private static final int CROSS_REGION_MIN_MICROS = 20_000;

    private final SplittableRandom mRandom;
    private final double mLoss;
    private boolean mPartitioned;

    SimulatedNetwork(final long seed, final double loss) {
        mRandom = new SplittableRandom(seed);
        mLoss = loss;
    }

    /** Starts or ends a partition between the regions. */
    void setPartitioned(final boolean partitioned) {
        mPartitioned = partitioned;
    }

    /** Returns the delay of a message, or empty if it is lost. */
    Optional<Duration> delay(final FailureDomain from, final FailureDomain to) {
        final boolean sameRegion = from.region().equals(to.region());
        if (mPartitioned && !sameRegion || mRandom.nextDouble() < mLoss) {
            return Optional.empty();
        }
        final int micros = sameRegion ? SAME_REGION_MIN_MICROS : CROSS_REGION_MIN_MICROS;
        return Optional.of(Duration.ofNanos(1000L * (micros + mRandom.nextInt(micros))));
    }
}
