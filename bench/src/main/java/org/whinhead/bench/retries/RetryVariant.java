package org.whinhead.bench.retries;

import java.time.Duration;
import org.whinhead.requests.RequestSettings;
import org.whinhead.requests.RetryScope;
import org.whinhead.routing.HealthSettings;
import org.whinhead.routing.SuccessRule;

/** The request and health settings of one benchmark run. */
enum RetryVariant {
    /** The default settings. */
    ALL("all ideas"),
    /** Deadline and attempt count are reset once an answer has started. */
    BOUNDS_PER_ATTEMPT("bounds per attempt") {
        @Override
        RequestSettings requestSettings() {
            return RequestSettings.builder().retryScope(RetryScope.ATTEMPT).build();
        }
    },
    /** The retry budget does not limit retries to a share of the traffic. */
    NO_RETRY_CAP("no retry cap") {
        @Override
        RequestSettings requestSettings() {
            return RequestSettings.builder().retries(1, UNLIMITED_RETRIES).build();
        }
    },
    /** A failing endpoint continues to receive requests. */
    NO_COOLDOWN("no cooldown") {
        @Override
        HealthSettings healthSettings() {
            return withoutCooldown();
        }
    },
    /** A failing endpoint continues to receive requests, and no retry budget applies. */
    NO_COOLDOWN_NO_CAP("no cooldown, no cap") {
        @Override
        RequestSettings requestSettings() {
            return RequestSettings.builder().retries(1, UNLIMITED_RETRIES).build();
        }

        @Override
        HealthSettings healthSettings() {
            return withoutCooldown();
        }
    },
    /** The delay before a probe doubles up to 32 s. */
    LONG_COOLDOWN("cooldown up to 32 s") {
        @Override
        HealthSettings healthSettings() {
            final HealthSettings defaults = HealthSettings.DEFAULT;
            return new HealthSettings(
                    defaults.failuresToSuspect(),
                    defaults.cooldown(),
                    defaults.jitter(),
                    defaults.probeTimeout(),
                    Duration.ofSeconds(32),
                    defaults.successRule());
        }
    },
    /** A success clears a failure even if the failure is newer. */
    ANY_SUCCESS("any success clears") {
        @Override
        HealthSettings healthSettings() {
            return withSuccessRule(SuccessRule.ANY);
        }
    },
    /** Limits per attempt, no retry budget and no cooldown. */
    NONE("none") {
        @Override
        RequestSettings requestSettings() {
            return RequestSettings.builder()
                    .retryScope(RetryScope.ATTEMPT)
                    .retries(1, UNLIMITED_RETRIES)
                    .build();
        }

        @Override
        HealthSettings healthSettings() {
            return withoutCooldown();
        }
    },
    /** The defaults; an attempt fails if its engine opens no stream within 1 s. */
    OPEN_TIMEOUT("all, open within 1 s") {
        @Override
        RequestSettings requestSettings() {
            return RequestSettings.builder().openTimeout(Duration.ofSeconds(1)).build();
        }
    },
    /** The defaults; admission does not count the slots of suspect endpoints. */
    CAPACITY_BY_HEALTH("all, slots by health") {
        @Override
        boolean capacityFollowsHealth() {
            return true;
        }
    },
    /** The defaults with the open timeout of 1 s and capacity without suspect endpoints. */
    OPEN_TIMEOUT_AND_CAPACITY("all, both of these") {
        @Override
        RequestSettings requestSettings() {
            return RequestSettings.builder().openTimeout(Duration.ofSeconds(1)).build();
        }

        @Override
        boolean capacityFollowsHealth() {
            return true;
        }
    },
    /** The defaults; silence before the first token counts as a failure ten times sooner. */
    SHORT_SILENCE("all, silence x2") {
        @Override
        RequestSettings requestSettings() {
            return RequestSettings.builder().silence(2, Duration.ofSeconds(2)).build();
        }
    };

    private static final int UNLIMITED_RETRIES = 1_000_000;

    private final String mLabel;

    RetryVariant(final String label) {
        mLabel = label;
    }

    String label() {
        return mLabel;
    }

    RequestSettings requestSettings() {
        return RequestSettings.builder().build();
    }

    HealthSettings healthSettings() {
        return HealthSettings.DEFAULT;
    }

    /** Returns whether admission leaves out the slots of suspect endpoints. */
    boolean capacityFollowsHealth() {
        return false;
    }

    private static HealthSettings withoutCooldown() {
        final HealthSettings defaults = HealthSettings.DEFAULT;
        return new HealthSettings(
                Integer.MAX_VALUE, defaults.cooldown(), defaults.jitter(), defaults.probeTimeout());
    }

    private static HealthSettings withSuccessRule(final SuccessRule rule) {
        final HealthSettings defaults = HealthSettings.DEFAULT;
        return new HealthSettings(
                defaults.failuresToSuspect(),
                defaults.cooldown(),
                defaults.jitter(),
                defaults.probeTimeout(),
                defaults.longestCooldown(),
                rule);
    }
}
