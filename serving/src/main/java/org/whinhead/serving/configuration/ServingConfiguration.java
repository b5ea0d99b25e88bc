package org.whinhead.serving.configuration;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.serving.route.Route;
import org.whinhead.serving.route.RouteTable;

/** One version of the configuration, whole and immutable. */
public final class ServingConfiguration {

    private final long mVersion;
    private final RouteTable mRoutes;
    private final Map<String, ServiceSpec> mServices = new HashMap<>();
    private final CallerLimits mLimits;
    private final Map<String, CustomerAccount> mCustomersByKey = new HashMap<>();
    private final List<CustomerAccount> mCustomers;

    /**
     * Makes a configuration.
     *
     * @param version its number; a later one is larger
     * @param routes its routes
     * @param services its services
     * @param limits what callers may send
     * @param customers its customers; none means that no request needs a key
     */
    public ServingConfiguration(
            final long version,
            final Collection<Route> routes,
            final Collection<ServiceSpec> services,
            final CallerLimits limits,
            final Collection<CustomerAccount> customers) {
        mVersion = version;
        mRoutes = new RouteTable(routes);
        services.forEach(service -> mServices.put(service.name(), service));
        mLimits = Objects.requireNonNull(limits, "limits");
        mCustomers = List.copyOf(customers);
        for (final CustomerAccount customer : mCustomers) {
            customer.keys().forEach(key -> mCustomersByKey.put(key, customer));
        }
    }

    public long version() {
        return mVersion;
    }

    public RouteTable routes() {
        return mRoutes;
    }

    public CallerLimits limits() {
        return mLimits;
    }

    public List<CustomerAccount> customers() {
        return mCustomers;
    }

    public Collection<ServiceSpec> services() {
        return mServices.values();
    }

    /**
     * Finds a service.
     *
     * @param name its name
     * @return the service, if this version has it
     */
    public Optional<ServiceSpec> service(final String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /**
     * Finds the customer that holds a key.
     *
     * @param key the key that a caller presents
     * @return the customer, if a customer holds it
     */
    public Optional<CustomerAccount> customerOfKey(final String key) {
        return Optional.ofNullable(mCustomersByKey.get(key));
    }

    /**
     * Tells whether requests need a customer's key.
     *
     * @return whether this version has customers
     */
    public boolean isKeyRequired() {
        return !mCustomers.isEmpty();
    }
}
