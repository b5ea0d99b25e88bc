package org.whinhead.gateway.exchange;

import java.util.List;
import org.slf4j.spi.LoggingEventBuilder;
import org.whinhead.serving.configuration.CustomerAccount;
import org.whinhead.serving.quota.KnownLevel;
import org.whinhead.serving.route.Route;

/**
 * A claim whose tokens were not granted, for the log lines of its request.
 *
 * @param customer the customer
 * @param route the route of the request
 * @param tokens the tokens that the request asked for
 * @param levels the levels of the customer's shares as known
 */
record UnmetClaim(CustomerAccount customer, Route route, long tokens, List<KnownLevel> levels) {

    /** Copies the levels. */
    UnmetClaim {
        levels = List.copyOf(levels);
    }

    LoggingEventBuilder addTo(final LoggingEventBuilder line) {
        return line.addKeyValue("customer", customer.name())
                .addKeyValue("route", route.name())
                .addKeyValue("tokens", tokens)
                .addKeyValue("shareLevels", levels);
    }
}
