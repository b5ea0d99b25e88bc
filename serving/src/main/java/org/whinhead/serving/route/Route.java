package org.whinhead.serving.route;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.Arguments;

/** A route of a configuration: immutable, created by its builder. */
public final class Route {

    private final String mName;
    private final String mHost;
    private final String mPathPrefix;
    private final RouteKind mKind;
    private final Duration mTimeout;
    private final Duration mTargetLatency;
    private final int mPriority;
    private final List<WeightedService> mServices;
    private final int mMaxAttempts;
    private final boolean mKeyless;
    private final boolean mResumable;

    private Route(final Builder builder) {
        mName = Arguments.requireText(builder.mName, "name");
        mHost = Arguments.requireText(builder.mHost, "host");
        mPathPrefix = Arguments.requireText(builder.mPathPrefix, "pathPrefix");
        mKind = Objects.requireNonNull(builder.mKind, "kind");
        mTimeout = Arguments.requirePositive(builder.mTimeout, "timeout");
        mTargetLatency = Arguments.requirePositive(builder.mTargetLatency, "targetLatency");
        mPriority = builder.mPriority;
        mServices = List.copyOf(builder.mServices);
        mMaxAttempts = (int) Arguments.requireAtLeast(builder.mMaxAttempts, 1, "maxAttempts");
        mKeyless = builder.mKeyless;
        mResumable = builder.mResumable;
    }

    /**
     * Creates a builder of a route.
     *
     * @return a builder without a service
     */
    public static Builder builder() {
        return new Builder();
    }

    public String name() {
        return mName;
    }

    public String host() {
        return mHost;
    }

    public String pathPrefix() {
        return mPathPrefix;
    }

    public RouteKind kind() {
        return mKind;
    }

    public Duration timeout() {
        return mTimeout;
    }

    public Duration targetLatency() {
        return mTargetLatency;
    }

    public int priority() {
        return mPriority;
    }

    public int maxAttempts() {
        return mMaxAttempts;
    }

    /**
     * Returns the services that answer requests of this route.
     *
     * @return the services with their weights, in the order of the configuration
     */
    public List<WeightedService> services() {
        return mServices;
    }

    /**
     * Returns whether requests need no customer key.
     *
     * @return whether anyone may call
     */
    public boolean isKeyless() {
        return mKeyless;
    }

    /**
     * Returns whether a request that may have run can be sent to another endpoint.
     *
     * @return whether running it again is allowed
     */
    public boolean canRunAgain() {
        return mKind.canRunAgain(mResumable);
    }

    /**
     * Selects the service of one request by the weights of the route.
     *
     * @param draw any number that is uniformly distributed over requests
     * @return the service's name
     */
    public String selectService(final int draw) {
        final int total = mServices.stream().mapToInt(WeightedService::weight).sum();
        if (total == 0) {
            return mServices.get(0).service();
        }
        int left = Math.floorMod(draw, total);
        for (final WeightedService service : mServices) {
            left -= service.weight();
            if (left < 0) {
                return service.service();
            }
        }
        throw new IllegalStateException("weights of route " + mName + " changed while drawing");
    }

    /**
     * Returns the service of this route if all its requests are sent to one.
     *
     * @return the service's name; empty if the route is split
     */
    public Optional<String> onlyService() {
        final List<String> services =
                mServices.stream().map(WeightedService::service).filter(this::isServedBy).toList();
        return services.size() == 1 ? Optional.of(services.get(0)) : Optional.empty();
    }

    /**
     * Returns whether requests of this route may be sent to a service.
     *
     * @param service the service's name
     * @return true if some or all of them are
     */
    public boolean isServedBy(final String service) {
        final boolean weighted = mServices.stream().anyMatch(entry -> entry.weight() > 0);
        return weighted
                ? mServices.stream()
                        .anyMatch(entry -> entry.weight() > 0 && entry.service().equals(service))
                : mServices.get(0).service().equals(service);
    }

    /** Builds a route. */
    public static final class Builder {

        private final List<WeightedService> mServices = new ArrayList<>();
        private String mName;
        private String mHost;
        private String mPathPrefix;
        private RouteKind mKind;
        private Duration mTimeout;
        private Duration mTargetLatency;
        private int mPriority;
        private int mMaxAttempts = 1;
        private boolean mKeyless;
        private boolean mResumable;

        private Builder() {}

        /**
         * Sets the route's name.
         *
         * @param name the name
         * @return this builder
         */
        public Builder name(final String name) {
            mName = name;
            return this;
        }

        /**
         * Sets the host and path that the route matches.
         *
         * @param host the host that callers name, in lower case, without a port
         * @param pathPrefix the prefix of the path, with a slash at both ends
         * @return this builder
         */
        public Builder match(final String host, final String pathPrefix) {
            mHost = host;
            mPathPrefix = pathPrefix;
            return this;
        }

        /**
         * Sets the kind of the route's requests.
         *
         * @param kind the kind
         * @param resumable whether streams can be resumed from an event
         * @return this builder
         */
        public Builder kind(final RouteKind kind, final boolean resumable) {
            mKind = kind;
            mResumable = resumable;
            return this;
        }

        /**
         * Sets the time limits of the route.
         *
         * @param timeout the longest time that a caller waits
         * @param targetLatency the latency up to which an answer is worth most
         * @return this builder
         */
        public Builder times(final Duration timeout, final Duration targetLatency) {
            mTimeout = timeout;
            mTargetLatency = targetLatency;
            return this;
        }

        /**
         * Sets the priority of the route's requests.
         *
         * @param priority the priority, 0 is the highest
         * @return this builder
         */
        public Builder priority(final int priority) {
            mPriority = priority;
            return this;
        }

        /**
         * Adds a service that answers a share of the requests.
         *
         * @param service the service and its share
         * @return this builder
         */
        public Builder service(final WeightedService service) {
            mServices.add(service);
            return this;
        }

        /**
         * Sets the largest number of attempts of a request.
         *
         * @param maxAttempts the number of endpoints that a request may be sent to, at least 1
         * @return this builder
         */
        public Builder maxAttempts(final int maxAttempts) {
            mMaxAttempts = maxAttempts;
            return this;
        }

        /**
         * Sets whether requests need no customer key.
         *
         * @param keyless whether anyone may call
         * @return this builder
         */
        public Builder keyless(final boolean keyless) {
            mKeyless = keyless;
            return this;
        }

        /**
         * Returns the route.
         *
         * @return the route
         * @throws IllegalArgumentException if the route has no service or an invalid value
         */
        public Route build() {
            if (mServices.isEmpty()) {
                throw new IllegalArgumentException("route " + mName + " has no service");
            }
            return new Route(this);
        }
    }
}
