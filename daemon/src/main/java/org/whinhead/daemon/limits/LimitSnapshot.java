package org.whinhead.daemon.limits;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.whinhead.admission.Target;
import org.whinhead.admission.budget.TeamRate;
import org.whinhead.api.Arguments;
import org.whinhead.api.model.Customer;

/**
 * What admission is told of the outside, as one consistent value.
 *
 * @param customers the customers in force
 * @param rates what each team may spend
 * @param slots this daemon's slots of each target that is or was served
 * @param daemons how many live daemons share endpoints and budgets
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
