package org.whinhead.standins.load.mix;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.whinhead.api.Arguments;

/**
 * The customers and the kinds of request of a load run.
 *
 * @param name the name of the workload
 * @param customers the customers with their weights; at least one
 * @param kinds the kinds of request with their weights; at least one
 */
public record Workload(String name, List<LoadCustomer> customers, List<RequestKind> kinds) {

    /** Checks the values and copies the lists. */
    public Workload {
        Arguments.requireText(name, "name");
        customers = List.copyOf(customers);
        kinds = List.copyOf(kinds);
        Arguments.requireAtLeast(customers.size(), 1, "customers");
        Arguments.requireAtLeast(kinds.size(), 1, "kinds");
    }

    /** Returns the references of the models that receive requests. */
    public Set<String> models() {
        return kinds.stream()
                .filter(kind -> !kind.style().isPlainService())
                .map(RequestKind::target)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the names of the plain services that receive requests. */
    public Set<String> services() {
        return kinds.stream()
                .filter(kind -> kind.style().isPlainService())
                .map(kind -> kind.target().substring(0, kind.target().indexOf('/')))
                .collect(Collectors.toUnmodifiableSet());
    }
}
