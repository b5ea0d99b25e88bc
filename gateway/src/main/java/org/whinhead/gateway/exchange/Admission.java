package org.whinhead.gateway.exchange;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.whinhead.gateway.caller.CallerRequest;
import org.whinhead.serving.configuration.CustomerAccount;
import org.whinhead.serving.quota.TokenGrant;
import org.whinhead.serving.route.Route;

/**
 * A request that is allowed, with what its configuration says of it.
 *
 * @param request the request
 * @param route its route
 * @param customer the customer that holds its key, if it needs one
 * @param spend the tokens that its customer was charged, if it has one
 * @param arrivedAt the earliest time at which it can have come whole
 */
record Admission(
        CallerRequest request,
        Route route,
        Optional<CustomerAccount> customer,
        Optional<TokenGrant> spend,
        Instant arrivedAt) {

    /** Tells when the caller or the operator no longer wants an answer. */
    Instant deadline() {
        final Duration most =
                request.deadline()
                        .filter(stated -> stated.compareTo(route.timeout()) < 0)
                        .orElse(route.timeout());
        return arrivedAt.plus(most);
    }

    /** The rank of the request: its customer's, or else its route's. */
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
