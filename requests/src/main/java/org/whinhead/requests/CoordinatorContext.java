package org.whinhead.requests;

import java.util.Objects;
import java.util.random.RandomGenerator;
import org.whinhead.admission.Admission;
import org.whinhead.routing.Router;

/**
 * What the parts of one coordinator share.
 *
 * @param router chooses endpoints and learns how attempts ended
 * @param admission decides when a request runs
 * @param actions the outside
 * @param settings patience and limits
 * @param random jitter
 * @param log the decision records
 * @param counters the recomputed tokens
 * @param budget the retry budget
 */
record CoordinatorContext(
        Router router,
        Admission admission,
        RequestActions actions,
        RequestSettings settings,
        RandomGenerator random,
        DecisionLog log,
        RecoveryCounters counters,
        RetryBudget budget) {

    CoordinatorContext {
        Objects.requireNonNull(router, "router");
        Objects.requireNonNull(admission, "admission");
        Objects.requireNonNull(actions, "actions");
        Objects.requireNonNull(settings, "settings");
        Objects.requireNonNull(random, "random");
        Objects.requireNonNull(log, "log");
        Objects.requireNonNull(counters, "counters");
        Objects.requireNonNull(budget, "budget");
    }
}
