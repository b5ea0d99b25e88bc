package org.whinhead.gateway.exchange;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.whinhead.gateway.caller.CallerRequest;
import org.whinhead.serving.configuration.CustomerAccount;
import org.whinhead.serving.quota.TokenGrant;
import org.whinhead.serving.route.Route;

/**
 * An admitted request with its route and customer.
 *
 * @param request the request
 * @param route its route
 * @param customer the customer that holds the request's key; empty if no key is needed
 * @param spend the tokens charged to the customer; empty without a customer
 * @param arrivedAt the earliest time at which the whole request may have arrived
 */
record AdmittedRequest(
        CallerRequest request,
        Route route,
        Optional<CustomerAccount> customer,
        Optional<TokenGrant> spend,
        Instant arrivedAt) {

    /** Returns the earlier of the caller's deadline and the end of the route's timeout. */
    Instant deadline() {
        final Duration limit =
                request.deadline()
                        .filter(stated -> stated.compareTo(route.timeout()) < 0)
                        .orElse(route.timeout());
        return arrivedAt.plus(limit);
    }

    /** Returns the priority of the customer, or else of the route; 0 is served first. */
    int priority() {
        return customer.map(CustomerAccount::priority)
                .filter(java.util.OptionalInt::isPresent)
                .map(java.util.OptionalInt::getAsInt)
                .orElse(route.priority());
    }

    Optional<String> customerName() {
        return customer.map(CustomerAccount::name);
    }
}
