package org.whinhead.daemon.limits;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.whinhead.admission.Target;
import org.whinhead.admission.budget.TeamRate;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.Customer;

/**
 * An immutable and consistent snapshot of the limits that admission applies.
 *
 * @param customers the customers of the current settings
 * @param rates the rate of each team in tokens per second
 * @param slots this daemon's slots of each target that is or was served
 * @param daemons the number of live daemons that share endpoints and budgets, at least 1
 */
record LimitSnapshot(
        List<Customer> customers, List<TeamRate> rates, Map<Target, Integer> slots, int daemons) {

    static final LimitSnapshot EMPTY = new LimitSnapshot(List.of(), List.of(), Map.of(), 1);

    LimitSnapshot {
        customers = List.copyOf(customers);
        rates = List.copyOf(rates);
        slots = Map.copyOf(slots);
        Arguments.requireAtLeast(daemons, 1, "daemons");
        Objects.requireNonNull(slots, "slots");
    }
}
