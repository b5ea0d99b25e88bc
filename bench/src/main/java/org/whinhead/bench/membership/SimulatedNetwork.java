package org.whinhead.bench.membership;

import java.time.Duration;
import java.util.Optional;
import java.util.SplittableRandom;
import org.whinhead.api.model.FailureDomain;

/** How long a message is on its way, and whether it arrives. */
final class SimulatedNetwork {

    private static final int NEAR_MICROS = 1_000;
    private static final int FAR_MICROS = 20_000;

    private final SplittableRandom mRandom;
    private final double mLoss;
    private boolean mCut;

    SimulatedNetwork(final long seed, final double loss) {
        mRandom = new SplittableRandom(seed);
        mLoss = loss;
    }

    /** Cuts the regions off from each other, or joins them again. */
    void cut(final boolean cut) {
        mCut = cut;
    }

    Optional<Duration> delay(final FailureDomain from, final FailureDomain to) {
        final boolean near = from.region().equals(to.region());
        if (mCut && !near || mRandom.nextDouble() < mLoss) {
            return Optional.empty();
        }
        final int micros = near ? NEAR_MICROS : FAR_MICROS;
        return Optional.of(Duration.ofNanos(1000L * (micros + mRandom.nextInt(micros))));
    }
}
