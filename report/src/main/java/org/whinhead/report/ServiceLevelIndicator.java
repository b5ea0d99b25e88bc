package org.whinhead.report;

/** The three promises whose burn is reported. */
public enum ServiceLevelIndicator {
    /** Requests get what they asked for. */
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
    /** First tokens come in time. */
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
    /** Later tokens come in time. */
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

    /** The allowance of a promise without one, so that a single miss shows as a huge burn. */
    private static final double MIN_ALLOWANCE = 1e-6;

    private final String mTitle;

    ServiceLevelIndicator(final String title) {
        mTitle = title;
    }

    /** Returns the name for people. */
    public String title() {
        return mTitle;
    }

    abstract long totalEvents(Counts counts);

    abstract long goodEvents(Counts counts);

    abstract double targetShare(Objective objective);

    /**
     * Returns how fast the allowance for misses is used up: 1 uses exactly all of it.
     *
     * @param counts the requests of a window
     * @param objective what was promised
     * @return the burn rate; 0 when nothing was counted
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
