package org.whinhead.gateway.duty;

import io.netty.channel.EventLoop;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.time.GuardedTask;
import org.whinhead.serving.capacity.CapacityOrder;
import org.whinhead.serving.capacity.CapacityPlanner;
import org.whinhead.serving.capacity.DemandMeter;
import org.whinhead.serving.capacity.LimitedCapacity;
import org.whinhead.serving.configuration.ServiceSpec;
import org.whinhead.serving.configuration.ServingConfiguration;
import org.whinhead.serving.endpoint.EndpointEntry;

/** Orders endpoints while this daemon holds the lease; otherwise only observes them. */
public final class EndpointAutoscaler {

    private static final Logger LOG = LoggerFactory.getLogger(EndpointAutoscaler.class);

    private static final int MILLIS_PER_SECOND = 1_000;

    /** Time to collect the refusals of a round of orders; an answer takes about 4 ms. */
    private static final int REFUSAL_BATCH_MILLIS = 30;

    private final EventLoop mLoop;
    private final ServingState mState;
    private final FencedCloudClient mCloud;
    private final CapacityPlanner mPlanner;
    private final Supplier<Optional<Long>> mFencingToken;
    private final LeaseConfirmation mConfirmation;
    private final DemandMeter mDemand = new DemandMeter();
    private final List<CapacityOrder> mUnconfirmedOrders = new ArrayList<>();
    private boolean mReorderScheduled;
    private Consumer<CapacityOrder> mOnOrdered = order -> {};

    /**
     * Creates an autoscaler that has ordered nothing.
     *
     * @param loop the event loop
     * @param state the endpoints, the demand and the clocks
     * @param cloud receives the orders
     * @param planner decides which endpoints to order
     * @param fencingToken the fencing token while this daemon holds the lease
     * @param confirmation confirms the lease before orders are sent
     */
    EndpointAutoscaler(
            final EventLoop loop,
            final ServingState state,
            final FencedCloudClient cloud,
            final CapacityPlanner planner,
            final Supplier<Optional<Long>> fencingToken,
            final LeaseConfirmation confirmation) {
        mLoop = loop;
        mState = state;
        mCloud = cloud;
        mPlanner = planner;
        mFencingToken = fencingToken;
        mConfirmation = confirmation;
    }

    /**
     * Sets the handler of accepted orders.
     *
     * @param onOrdered receives an order that the platform has accepted
     */
    public void onOrdered(final Consumer<CapacityOrder> onOrdered) {
        mOnOrdered = onOrdered;
    }

    /**
     * Records an order of the lease holder, for the case that this daemon takes over the lease.
     *
     * @param order an order that the platform has accepted
     */
    public void recordPeerOrder(final CapacityOrder order) {
        final Optional<ServiceSpec> service =
                mState.configuration()
                        .current()
                        .flatMap(configuration -> configuration.service(order.service()));
        if (service.isPresent() && mFencingToken.get().isEmpty()) {
            mPlanner.recordPeerOrder(service.get(), order, mState.clock().instant());
        }
    }

    /**
     * Orders endpoints if this daemon holds the lease, which is confirmed first; otherwise only
     * observes them. Called at each change of the endpoints, as a reclaim leaves only seconds.
     */
    public void orderEndpoints() {
        final boolean confirmationPending = !mUnconfirmedOrders.isEmpty();
        mUnconfirmedOrders.addAll(planOrders());
        if (!mUnconfirmedOrders.isEmpty() && !confirmationPending) {
            mConfirmation
                    .confirm()
                    .thenAccept(
                            token ->
                                    GuardedTask.run(
                                            LOG, "lease confirmed", () -> handleConfirmed(token)));
        }
    }

    /** Plans again, since the endpoints may have changed while the lease was confirmed. */
    private void handleConfirmed(final Optional<Long> fencingToken) {
        if (fencingToken.isEmpty()) {
            LOG.atInfo()
                    .addKeyValue("orders", mUnconfirmedOrders.size())
                    .log("orders not sent, lease not confirmed");
        }
        mUnconfirmedOrders.forEach(mPlanner::recordNotSent);
        mUnconfirmedOrders.clear();
        fencingToken.ifPresent(this::orderEndpoints);
    }

    /**
     * Orders endpoints under a lease that was confirmed just now.
     *
     * @param fencingToken the fencing token
     */
    void orderEndpoints(final long fencingToken) {
        planOrders().forEach(order -> order(fencingToken, order));
    }

    /** Returns the orders to send now; empty if this daemon doesn't hold the lease. */
    private List<CapacityOrder> planOrders() {
        final Optional<ServingConfiguration> configuration = mState.configuration().current();
        if (configuration.isEmpty()) {
            return List.of();
        }
        final Instant now = mState.clock().instant();
        if (mFencingToken.get().isEmpty()) {
            observeEndpoints(configuration.get(), now);
            return List.of();
        }
        recordDemand();
        final List<CapacityOrder> planned = new ArrayList<>();
        for (final ServiceSpec service : configuration.get().services()) {
            final List<EndpointEntry> endpoints = countedEndpoints(service.name());
            for (final CapacityOrder order :
                    mPlanner.plan(service, endpoints, load(service, endpoints, now), now)) {
                if (!reducesEndpoints(order, endpoints)
                        || !mState.rollouts().isOpen(service.name())) {
                    planned.add(order);
                }
            }
        }
        return planned;
    }

    private List<EndpointEntry> countedEndpoints(final String service) {
        return mState.rollouts().capacityEndpoints(service, mState.endpoints().usable(service));
    }

    /**
     * Returns whether an order releases endpoints. During a rollout a service has twice what it
     * needs, and the platform would choose which ones, of any version, to release.
     */
    private static boolean reducesEndpoints(
            final CapacityOrder order, final List<EndpointEntry> endpoints) {
        final long listed =
                endpoints.stream()
                        .filter(endpoint -> endpoint.domain().equals(order.domain()))
                        .filter(endpoint -> endpoint.reclaimable() == order.reclaimable())
                        .count();
        return order.count() < listed;
    }

    private void observeEndpoints(final ServingConfiguration configuration, final Instant now) {
        for (final ServiceSpec service : configuration.services()) {
            mPlanner.observe(service, countedEndpoints(service.name()), now);
        }
    }

    /** Records the tokens requested so far; called at each tick of every daemon. */
    void recordDemand() {
        mDemand.addTotal(
                mState.quotas().offeredLoad().fleetTokens(),
                mState.quotas().offeredLoad().meanRequestTokens(),
                mState.clock().instant());
    }

    private CapacityPlanner.Load load(
            final ServiceSpec service, final List<EndpointEntry> endpoints, final Instant now) {
        final double tokensPerEndpoint =
                mState.chooser().prefillRate(service.name()).tokensPerMillisecond()
                        * MILLIS_PER_SECOND
                        * meanSpeed(service.name(), endpoints, now);
        return new CapacityPlanner.Load(
                mDemand.tokensPerSecond(),
                mDemand.minimumTokensPerSecond(),
                tokensPerEndpoint,
                missingEndpoints(service, endpoints, tokensPerEndpoint, now));
    }

    /** Returns the mean speed of endpoints; 1 is that of the one whose rate is measured. */
    private double meanSpeed(
            final String service, final List<EndpointEntry> endpoints, final Instant now) {
        return mState.chooser()
                .speeds()
                .map(
                        speeds ->
                                speeds.meanSpeed(
                                        service,
                                        endpoints.stream().map(EndpointEntry::id).toList(),
                                        now))
                .orElse(1.0);
    }

    private int missingEndpoints(
            final ServiceSpec service,
            final List<EndpointEntry> endpoints,
            final double tokensPerEndpoint,
            final Instant now) {
        final double requestTokens = mState.quotas().offeredLoad().meanRequestTokens();
        if (service.scaling().isEmpty() || requestTokens == 0) {
            return 0;
        }
        return LimitedCapacity.missingEndpoints(
                endpoints,
                mState.requestLimits(),
                tokensPerEndpoint / requestTokens,
                service.scaling().get().bootTime(),
                now);
    }

    /**
     * Orders replacements once for all refusals of a round. In a wave of reclaims several domains
     * run out of capacity together, and a notice gives less time than the holder's next rounds.
     */
    private void scheduleReplacementOrders() {
        if (!mReorderScheduled) {
            mReorderScheduled = true;
            mLoop.schedule(
                    () -> {
                        mReorderScheduled = false;
                        orderEndpoints();
                    },
                    REFUSAL_BATCH_MILLIS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void order(final long fencingToken, final CapacityOrder order) {
        mCloud.order(fencingToken, order)
                .whenComplete(
                        (answer, failure) -> {
                            if (failure == null) {
                                recordAnswer(order, answer);
                            }
                            LOG.atInfo()
                                    .addKeyValue("service", order.service())
                                    .addKeyValue("domain", order.domain())
                                    .addKeyValue("reclaimable", order.reclaimable())
                                    .addKeyValue("count", order.count())
                                    .addKeyValue("token", fencingToken)
                                    .addKeyValue("answer", String.valueOf(answer))
                                    .addKeyValue("failure", String.valueOf(failure))
                                    .log("endpoints ordered");
                        });
    }

    private void recordAnswer(final CapacityOrder order, final OrderAnswer answer) {
        switch (answer) {
            case ACCEPTED -> {
                mPlanner.recordAnswer(order, true);
                mOnOrdered.accept(order);
            }
            case NONE_AVAILABLE -> {
                mPlanner.recordAnswer(order, false);
                scheduleReplacementOrders();
            }
            case NOT_HANDLED -> mPlanner.recordNotHandled(order);
            default -> throw new IllegalStateException("answer " + answer);
        }
    }
}
