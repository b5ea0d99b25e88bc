package org.whinhead.serving.configuration.check;

import java.util.Set;
import java.util.stream.Collectors;
import org.whinhead.serving.configuration.CustomerAccount;
import org.whinhead.serving.route.Route;

/** Finds priorities below 0, and those of customers that no route of a service has. */
final class Ranks implements ConfigurationRule {

    @Override
    public void check(final WrittenConfiguration configuration, final Findings findings) {
        final Set<Integer> ranks =
                configuration.routes().stream()
                        .map(route -> route.value().priority())
                        .collect(Collectors.toSet());
        for (final Located<Route> route : configuration.routes()) {
            if (route.value().priority() < 0) {
                findings.warn(
                        route.field(EntryField.PRIORITY),
                        "rank-negative",
                        route.value().priority());
            }
        }
        for (final Located<CustomerAccount> customer : configuration.customers()) {
            customer.value().priority().ifPresent(rank -> check(customer, rank, ranks, findings));
        }
    }

    private static void check(
            final Located<CustomerAccount> customer,
            final int rank,
            final Set<Integer> ranks,
            final Findings findings) {
        final String path = customer.field(EntryField.PRIORITY);
        if (rank < 0) {
            findings.warn(path, "rank-negative", rank);
        } else if (!ranks.contains(rank)) {
            findings.warn(path, "rank-unused", customer.value().name(), rank);
        }
    }

    @Override
    public boolean needsAllEntries() {
        return true;
    }
}
