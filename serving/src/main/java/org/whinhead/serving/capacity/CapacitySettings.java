package org.whinhead.serving.capacity;

import org.whinhead.api.Arguments;

/** How much capacity is kept for a demand: immutable, made by its builder. */
public final class CapacitySettings {

    /**
     * What is kept for model services. Within a wave of reclaims all of the need is kept safe:
     * where all three domains went within nine seconds, and the last while nobody could order, that
     * earned 0.14 of the day more than a third; on days of two reclaims it costs 0.01. Keeping a
     * third of the need safe against the next reclaim, not all of it, in calm times earned 0.03 to
     * 0.09 of what is owed more on days with two reclaims: half of the endpoints on demand were not
     * needed. At 1.17 of what an engine reads a service that had lost all reclaimable endpoints
     * served 0.73 of what is owed, not 0.86.
     */
    public static final CapacitySettings USUAL = usual().build();

    private final double mLoadPart;
    private final double mReserve;
    private final double mSurvivingPart;
    private final double mSurvivingPartInWave;
    private final int mLossesInWave;
    private final double mBurstReserve;

    private CapacitySettings(final Builder builder) {
        if (!(builder.mLoadPart > 0)) {
            throw new IllegalArgumentException("loadPart is no part: " + builder.mLoadPart);
        }
        mLoadPart = builder.mLoadPart;
        mReserve = requireAtLeastOne(builder.mReserve, "reserve");
        mSurvivingPart = requirePart(builder.mSurvivingPart, "survivingPart");
        mSurvivingPartInWave = requirePart(builder.mSurvivingPartInWave, "survivingPartInWave");
        mLossesInWave = (int) Arguments.requireAtLeast(builder.mLossesInWave, 1, "lossesInWave");
        mBurstReserve = requireAtLeastOne(builder.mBurstReserve, "burstReserve");
    }

    private static double requirePart(final double part, final String name) {
        if (!(part >= 0 && part <= 1)) {
            throw new IllegalArgumentException(name + " is no part: " + part);
        }
        return part;
    }

    private static double requireAtLeastOne(final double factor, final String name) {
        if (!(factor >= 1)) {
            throw new IllegalArgumentException(name + " must be at least 1: " + factor);
        }
        return factor;
    }

    /**
     * Starts settings.
     *
     * @return a builder that keeps what the demand needs, and nothing against losses
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Starts settings from those that are kept for model services.
     *
     * @return a builder that holds them
     */
    public static Builder usual() {
        return builder()
                .loadPart(0.78)
                .reserve(2.6)
                .surviving(0.34, 1)
                .lossesInWave(2)
                .burstReserve(1.3);
    }

    double loadPart() {
        return mLoadPart;
    }

    double reserve() {
        return mReserve;
    }

    double survivingPart() {
        return mSurvivingPart;
    }

    double survivingPartInWave() {
        return mSurvivingPartInWave;
    }

    int lossesInWave() {
        return mLossesInWave;
    }

    double burstReserve() {
        return mBurstReserve;
    }

    /** Collects the parts of settings. */
    public static final class Builder {

        private double mLoadPart = 1;
        private double mReserve = 1;
        private double mSurvivingPart;
        private double mSurvivingPartInWave;
        private int mLossesInWave = 1;
        private double mBurstReserve = 1;

        private Builder() {}

        /**
         * Sets the load of an endpoint.
         *
         * @param loadPart the part of what an endpoint can read that it should get at most;
         *     callers' shared prompts count, though many are cached
         * @return this builder
         */
        public Builder loadPart(final double loadPart) {
            mLoadPart = loadPart;
            return this;
        }

        /**
         * Sets how many reclaimable endpoints are kept.
         *
         * @param reserve the number for each endpoint that the demand needs
         * @return this builder
         */
        public Builder reserve(final double reserve) {
            mReserve = reserve;
            return this;
        }

        /**
         * Sets what must be left if reclaimable endpoints go now; more are ordered once they do.
         *
         * @param part the part of the needed endpoints, if any failure domain's go
         * @param partInWave the same while a domain was reclaimed a short while ago: reclaims come
         *     in waves, and nothing reclaimable is to be had until a wave is over
         * @return this builder
         */
        public Builder surviving(final double part, final double partInWave) {
            mSurvivingPart = part;
            mSurvivingPartInWave = partInWave;
            return this;
        }

        /**
         * Sets how many reclaims are prepared for in a wave.
         *
         * @param lossesInWave failure domains that may go before what is ordered has started
         * @return this builder
         */
        public Builder lossesInWave(final int lossesInWave) {
            mLossesInWave = lossesInWave;
            return this;
        }

        /**
         * Sets what is kept for bursts where only endpoints on demand are to be had.
         *
         * @param burstReserve whole endpoints for each one that the demand needs
         * @return this builder
         */
        public Builder burstReserve(final double burstReserve) {
            mBurstReserve = burstReserve;
            return this;
        }

        /**
         * Makes the settings.
         *
         * @return the settings
         */
        public CapacitySettings build() {
            return new CapacitySettings(this);
        }
    }
}
