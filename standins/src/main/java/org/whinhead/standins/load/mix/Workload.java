package org.whinhead.standins.load.mix;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.whinhead.api.Arguments;

/**
 * Who calls and what they ask for.
 *
 * @param name the mix's name
 * @param customers the customers, with their shares
 * @param kinds the kinds of request, with their shares
 */
public record Workload(String name, List<LoadCustomer> customers, List<RequestKind> kinds) {

    /** Checks every part and copies the lists. */
    public Workload {
        Arguments.requireText(name, "name");
        customers = List.copyOf(customers);
        kinds = List.copyOf(kinds);
        Arguments.requireAtLeast(customers.size(), 1, "customers");
        Arguments.requireAtLeast(kinds.size(), 1, "kinds");
    }

    /** Returns the model references that the mix asks for. */
    public Set<String> models() {
        return kinds.stream()
                .filter(kind -> !kind.style().isPlainService())
                .map(RequestKind::target)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the plain services that the mix calls. */
    public Set<String> services() {
        return kinds.stream()
                .filter(kind -> kind.style().isPlainService())
                .map(kind -> kind.target().substring(0, kind.target().indexOf('/')))
                .collect(Collectors.toUnmodifiableSet());
    }
}
