package org.whinhead.serving.configuration;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.serving.route.Route;
import org.whinhead.serving.route.RouteTable;

/** A complete, immutable version of the configuration. */
public final class ServingConfiguration {

    private final long mVersion;
    private final RouteTable mRoutes;
    private final Map<String, ServiceSpec> mServices = new HashMap<>();
    private final CallerLimits mLimits;
    private final Map<String, CustomerAccount> mCustomersByKey = new HashMap<>();
    private final List<CustomerAccount> mCustomers;
    private final RejectedEntries mRejected;

    /**
     * Creates a configuration of which every entry is used.
     *
     * @param version the version number, which grows with each change
     * @param routes the routes
     * @param services the services
     * @param limits the limits of callers' requests
     * @param customers the customers; if there are none, no request needs a key
     */
    public ServingConfiguration(
            final long version,
            final Collection<Route> routes,
            final Collection<ServiceSpec> services,
            final CallerLimits limits,
            final Collection<CustomerAccount> customers) {
        this(version, routes, services, limits, customers, RejectedEntries.NONE);
    }

    /**
     * Creates a configuration.
     *
     * @param version the version number, which grows with each change
     * @param routes the routes
     * @param services the services
     * @param limits the limits of callers' requests
     * @param customers the customers; if there are none, no request needs a key
     * @param rejected the entries that can't be used
     */
    public ServingConfiguration(
            final long version,
            final Collection<Route> routes,
            final Collection<ServiceSpec> services,
            final CallerLimits limits,
            final Collection<CustomerAccount> customers,
            final RejectedEntries rejected) {
        mVersion = version;
        mRejected = Objects.requireNonNull(rejected, "rejected");
        mRoutes = new RouteTable(routes, rejected.routes());
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
     * Returns a service.
     *
     * @param name the service's name
     * @return the service, if this version contains it
     */
    public Optional<ServiceSpec> service(final String name) {
        return Optional.ofNullable(mServices.get(name));
    }

    /**
     * Returns the customer with a key.
     *
     * @param key the key that a caller presents
     * @return the customer, if a customer has the key
     */
    public Optional<CustomerAccount> customerOfKey(final String key) {
        return Optional.ofNullable(mCustomersByKey.get(key));
    }

    /**
     * Returns whether requests need a customer's key.
     *
     * @return whether this version has customers, also such that can't be used
     */
    public boolean isKeyRequired() {
        return !mCustomers.isEmpty() || mRejected.customers();
    }

    /**
     * Returns the entries that can't be used.
     *
     * @return the entries; requests that they are for are refused, all others are served
     */
    public RejectedEntries rejected() {
        return mRejected;
    }
}
