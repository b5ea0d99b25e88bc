package org.whinhead.serving.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

/** A request that is about to be placed for the first time. */
public final class AdmissionRequest {

    private final String mId;
    private final String mService;
    private final String mRoute;
    private final int mRank;
    private final String mCustomer;
    private final double mGranted;
    private final String mSession;
    private final Duration mCost;
    private final Instant mUsefulUntil;

    private AdmissionRequest(final Builder builder) {
        mId = Objects.requireNonNull(builder.mId, "id");
        mService = Objects.requireNonNull(builder.mService, "service");
        mRoute = Objects.requireNonNull(builder.mRoute, "route");
        mRank = RankCounts.index(builder.mRank);
        mCustomer = Objects.requireNonNull(builder.mCustomer, "customer");
        mGranted = Math.max(builder.mGranted, 1);
        mSession = Objects.requireNonNull(builder.mSession, "session");
        mCost = Objects.requireNonNull(builder.mCost, "cost");
        mUsefulUntil = Objects.requireNonNull(builder.mUsefulUntil, "usefulUntil");
    }

    /**
     * Returns a builder of a request.
     *
     * @param id the request's id
     * @param service the service that it is sent to
     * @param route the name of its route
     * @return a builder of a request of the most urgent rank
     */
    public static Builder builder(final String id, final String service, final String route) {
        return new Builder(id, service, route);
    }

    /**
     * Returns the request's id.
     *
     * @return the id
     */
    public String id() {
        return mId;
    }

    /**
     * Returns the service that the request is sent to.
     *
     * @return the service's name
     */
    public String service() {
        return mService;
    }

    /**
     * Returns the name of the request's route.
     *
     * @return the name
     */
    public String route() {
        return mRoute;
    }

    /**
     * Returns the request's rank.
     *
     * @return the rank, 0 the most urgent one
     */
    public int rank() {
        return mRank;
    }

    String customer() {
        return mCustomer;
    }

    double granted() {
        return mGranted;
    }

    String session() {
        return mSession;
    }

    Duration cost() {
        return mCost;
    }

    /**
     * Returns the end of the request's useful time.
     *
     * @return the earlier of the caller's deadline and the end of the route's timeout
     */
    public Instant usefulUntil() {
        return mUsefulUntil;
    }

    /** Builds an {@link AdmissionRequest}. */
    public static final class Builder {

        private final String mId;
        private final String mService;
        private final String mRoute;
        private int mRank;
        private String mCustomer = "";
        private double mGranted = 1;
        private String mSession = "";
        private Duration mCost = Duration.ZERO;
        private Instant mUsefulUntil;

        private Builder(final String id, final String service, final String route) {
            mId = id;
            mService = service;
            mRoute = route;
        }

        /**
         * Sets the rank.
         *
         * @param rank the rank, 0 the most urgent one
         * @return this builder
         */
        public Builder rank(final int rank) {
            mRank = rank;
            return this;
        }

        /**
         * Sets whose request it is.
         *
         * @param customer the customer's name; empty if no key is needed
         * @param granted what the customer is granted, in any unit that all customers share
         * @param session the session; empty if there is none
         * @return this builder
         */
        public Builder customer(final String customer, final double granted, final String session) {
            mCustomer = customer;
            mGranted = granted;
            mSession = session;
            return this;
        }

        /**
         * Sets the time for which it occupies an endpoint, as far as its size tells.
         *
         * @param cost the time
         * @return this builder
         */
        public Builder cost(final Duration cost) {
            mCost = cost;
            return this;
        }

        /**
         * Sets the end of its useful time.
         *
         * @param usefulUntil the earlier of the caller's deadline and the end of the timeout
         * @return this builder
         */
        public Builder usefulUntil(final Instant usefulUntil) {
            mUsefulUntil = usefulUntil;
            return this;
        }

        /**
         * Creates the request.
         *
         * @return the request
         */
        public AdmissionRequest build() {
            return new AdmissionRequest(this);
        }
    }
}
