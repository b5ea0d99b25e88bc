package org.whinhead.requests;

import java.util.Objects;
import java.util.random.RandomGenerator;
import org.whinhead.admission.Admission;
import org.whinhead.routing.Router;

/**
 * The dependencies that the components of a coordinator share.
 *
 * @param router chooses endpoints and receives the outcomes of attempts
 * @param admission the admission control
 * @param actions the actions that the coordinator requests
 * @param settings the timeouts and limits
 * @param random the random generator for jitter
 * @param log the log of decisions
 * @param counters the counters of recoveries and recomputed tokens
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
