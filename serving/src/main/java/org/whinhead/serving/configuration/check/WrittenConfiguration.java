package org.whinhead.serving.configuration.check;

import java.util.List;
import java.util.Objects;
import org.whinhead.serving.configuration.CallerLimits;
import org.whinhead.serving.configuration.CustomerAccount;
import org.whinhead.serving.configuration.ServiceSpec;
import org.whinhead.serving.configuration.ServingConfiguration;
import org.whinhead.serving.route.Route;

/**
 * A configuration as it is written: unlike the one in force it still contains the entries that a
 * later entry with the same name, match or key replaces.
 *
 * @param version the version with its place
 * @param routes the routes in order
 * @param services the services in order
 * @param customers the customers in order
 * @param limits the limits of callers' requests
 * @param complete whether every entry of the text could be decoded
 */
public record WrittenConfiguration(
        Located<Long> version,
        List<Located<Route>> routes,
        List<Located<ServiceSpec>> services,
        List<Located<CustomerAccount>> customers,
        Located<CallerLimits> limits,
        boolean complete) {

    /** Checks and copies the components. */
    public WrittenConfiguration {
        Objects.requireNonNull(version, "version");
        Objects.requireNonNull(limits, "limits");
        routes = List.copyOf(routes);
        services = List.copyOf(services);
        customers = List.copyOf(customers);
    }

    /**
     * Returns the configuration that daemons would use.
     *
     * @return the configuration
     */
    public ServingConfiguration effective() {
        return new ServingConfiguration(
                version.value(),
                routes.stream().map(Located::value).toList(),
                services.stream().map(Located::value).toList(),
                limits.value(),
                customers.stream().map(Located::value).toList());
    }
}
