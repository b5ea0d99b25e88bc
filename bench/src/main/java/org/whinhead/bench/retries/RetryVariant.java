package org.whinhead.bench.retries;

import java.time.Duration;
import org.whinhead.requests.RequestSettings;
import org.whinhead.requests.RetryScope;
import org.whinhead.routing.HealthSettings;
import org.whinhead.routing.SuccessRule;

/** Which of the ideas on retries are in force in a run. */
enum RetryVariant {
    /** All of them: the program's own values. */
    ALL("all ideas"),
    /** Deadline and count of runs start anew once an answer has begun. */
    BOUNDS_PER_ATTEMPT("bounds per attempt") {
        @Override
        RequestSettings requestSettings() {
            return RequestSettings.builder().retryScope(RetryScope.ATTEMPT).build();
        }
    },
    /** Retries are not capped at a share of the traffic. */
    NO_RETRY_CAP("no retry cap") {
        @Override
        RequestSettings requestSettings() {
            return RequestSettings.builder().retries(1, UNBOUNDED).build();
        }
    },
    /** A failing endpoint stays open to new work. */
    NO_COOLDOWN("no cooldown") {
        @Override
        HealthSettings healthSettings() {
            return withoutCooldown();
        }
    },
    /** A failing endpoint stays open, and retries are not capped. */
    NO_COOLDOWN_NO_CAP("no cooldown, no cap") {
        @Override
        RequestSettings requestSettings() {
            return RequestSettings.builder().retries(1, UNBOUNDED).build();
        }

        @Override
        HealthSettings healthSettings() {
            return withoutCooldown();
        }
    },
    /** The wait for a probe doubles up to 32 s. */
    LONG_COOLDOWN("cooldown up to 32 s") {
        @Override
        HealthSettings healthSettings() {
            final HealthSettings usual = HealthSettings.DEFAULT;
            return new HealthSettings(
                    usual.failuresToSuspect(),
                    usual.cooldown(),
                    usual.jitter(),
                    usual.probeTimeout(),
                    Duration.ofSeconds(32),
                    usual.successRule());
        }
    },
    /** An old success clears a newer failure. */
    ANY_SUCCESS("any success clears") {
        @Override
        HealthSettings healthSettings() {
            return withSuccessRule(SuccessRule.ANY);
        }
    },
    /** None of them. */
    NONE("none") {
        @Override
        RequestSettings requestSettings() {
            return RequestSettings.builder()
                    .retryScope(RetryScope.ATTEMPT)
                    .retries(1, UNBOUNDED)
                    .build();
        }

        @Override
        HealthSettings healthSettings() {
            return withoutCooldown();
        }
    },
    /** All of them, and an engine that opens no stream within a second has failed. */
    OPEN_TIMEOUT("all, open within 1 s") {
        @Override
        RequestSettings requestSettings() {
            return RequestSettings.builder().openTimeout(Duration.ofSeconds(1)).build();
        }
    },
    /** All of them, and slots of suspect endpoints are not counted by admission. */
    CAPACITY_BY_HEALTH("all, slots by health") {
        @Override
        boolean capacityFollowsHealth() {
            return true;
        }
    },
    /** Both: engines must open a stream within a second, and slots follow their health. */
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
    /** All of them, and silence before the first token counts as a failure ten times sooner. */
    SHORT_SILENCE("all, silence x2") {
        @Override
        RequestSettings requestSettings() {
            return RequestSettings.builder().silence(2, Duration.ofSeconds(2)).build();
        }
    };

    private static final int UNBOUNDED = 1_000_000;

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

    boolean capacityFollowsHealth() {
        return false;
    }

    private static HealthSettings withoutCooldown() {
        final HealthSettings usual = HealthSettings.DEFAULT;
        return new HealthSettings(
                Integer.MAX_VALUE, usual.cooldown(), usual.jitter(), usual.probeTimeout());
    }

    private static HealthSettings withSuccessRule(final SuccessRule rule) {
        final HealthSettings usual = HealthSettings.DEFAULT;
        return new HealthSettings(
                usual.failuresToSuspect(),
                usual.cooldown(),
                usual.jitter(),
                usual.probeTimeout(),
                usual.longestCooldown(),
                rule);
    }
}
