package org.whinhead.serving.capacity;

import org.whinhead.api.Arguments;

/** The settings of the capacity that is kept for a demand: immutable, created by its builder. */
public final class CapacitySettings {

    /**
     * The settings for model services. Within a wave of reclaims all of the need must survive, as
     * no daemon may be able to order replacements; in calm times a third, as on-demand endpoints
     * for more would mostly be idle. The load stays below an engine's prefill rate.
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
            throw new IllegalArgumentException("loadPart must be above 0: " + builder.mLoadPart);
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
            throw new IllegalArgumentException(name + " is not from 0 to 1: " + part);
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
     * Creates a builder of settings.
     *
     * @return a builder that keeps the endpoints that the demand needs, and none against losses
     */
    public static Builder builder() {
        return new Builder();
    }

    /**
     * Creates a builder with the settings for model services.
     *
     * @return the builder
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

    /** Builds capacity settings. */
    public static final class Builder {

        private double mLoadPart = 1;
        private double mReserve = 1;
        private double mSurvivingPart;
        private double mSurvivingPartInWave;
        private int mLossesInWave = 1;
        private double mBurstReserve = 1;

        private Builder() {}

        /**
         * Sets the target load of an endpoint.
         *
         * @param loadPart the highest load as a share of an endpoint's prefill rate, above 0;
         *     callers' shared prompts count, though many are cached
         * @return this builder
         */
        public Builder loadPart(final double loadPart) {
            mLoadPart = loadPart;
            return this;
        }

        /**
         * Sets the number of reclaimable endpoints to keep.
         *
         * @param reserve the number for each endpoint that the demand needs, at least 1
         * @return this builder
         */
        public Builder reserve(final double reserve) {
            mReserve = reserve;
            return this;
        }

        /**
         * Sets the shares of the need that must survive a reclaim; more is ordered after it.
         *
         * @param part the share, 0 to 1, if any failure domain's reclaimable endpoints are lost
         * @param partInWave the same for a while after a reclaim, since reclaims come in waves, and
         *     no reclaimable endpoints are available until a wave is over
         * @return this builder
         */
        public Builder surviving(final double part, final double partInWave) {
            mSurvivingPart = part;
            mSurvivingPartInWave = partInWave;
            return this;
        }

        /**
         * Sets the number of further reclaims to survive in a wave.
         *
         * @param lossesInWave the number of failure domains that may be lost before ordered
         *     endpoints have started, at least 1
         * @return this builder
         */
        public Builder lossesInWave(final int lossesInWave) {
            mLossesInWave = lossesInWave;
            return this;
        }

        /**
         * Sets the reserve for bursts if only on-demand endpoints are available.
         *
         * @param burstReserve the number of endpoints, rounded down in total, for each one that the
         *     demand needs, at least 1
         * @return this builder
         */
        public Builder burstReserve(final double burstReserve) {
            mBurstReserve = burstReserve;
            return this;
        }

        /**
         * Returns the settings.
         *
         * @return the settings
         * @throws IllegalArgumentException if a value is out of its range
         */
        public CapacitySettings build() {
            return new CapacitySettings(this);
        }
    }
}
