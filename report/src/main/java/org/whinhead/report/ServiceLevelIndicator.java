package org.whinhead.report;

/** The service-level indicators whose burn rates are reported. */
public enum ServiceLevelIndicator {
    /** The share of requests that complete. */
    AVAILABILITY("availability") {
        @Override
        long totalEvents(final Counts counts) {
            return counts.counted();
        }

        @Override
        long goodEvents(final Counts counts) {
            return counts.good();
        }

        @Override
        double targetShare(final Objective objective) {
            return objective.availability();
        }
    },
    /** The share of first tokens within the target. */
    FIRST_TOKEN("first token") {
        @Override
        long totalEvents(final Counts counts) {
            return counts.firstTokens();
        }

        @Override
        long goodEvents(final Counts counts) {
            return counts.firstTokensInTime();
        }

        @Override
        double targetShare(final Objective objective) {
            return objective.latencyShare();
        }
    },
    /** The share of streams whose mean time between tokens is within the target. */
    BETWEEN_TOKENS("between tokens") {
        @Override
        long totalEvents(final Counts counts) {
            return counts.streams();
        }

        @Override
        long goodEvents(final Counts counts) {
            return counts.streamsInTime();
        }

        @Override
        double targetShare(final Objective objective) {
            return objective.latencyShare();
        }
    };

    /** The allowance of an objective of 1, so that a single miss shows as a very high burn rate. */
    private static final double MIN_ALLOWANCE = 1e-6;

    private final String mTitle;

    ServiceLevelIndicator(final String title) {
        mTitle = title;
    }

    /** Returns the display name. */
    public String title() {
        return mTitle;
    }

    abstract long totalEvents(Counts counts);

    abstract long goodEvents(Counts counts);

    abstract double targetShare(Objective objective);

    /**
     * Returns the speed at which the allowance for misses is used up: 1 uses exactly all of it.
     *
     * @param counts the requests of a window
     * @param objective the objective of the tier
     * @return the burn rate; 0 if the window has no requests
     */
    public double burnRate(final Counts counts, final Objective objective) {
        final long total = totalEvents(counts);
        if (total == 0) {
            return 0;
        }
        final double missed = (double) (total - goodEvents(counts)) / total;
        return missed / Math.max(1 - targetShare(objective), MIN_ALLOWANCE);
    }
}
