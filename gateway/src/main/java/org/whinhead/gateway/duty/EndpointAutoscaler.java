package org.whinhead.gateway.duty;

import io.netty.channel.EventLoop;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.serving.capacity.CapacityOrder;
import org.whinhead.serving.capacity.CapacityPlanner;
import org.whinhead.serving.capacity.DemandMeter;
import org.whinhead.serving.configuration.ServiceSpec;
import org.whinhead.serving.configuration.ServingConfiguration;
import org.whinhead.serving.endpoint.EndpointEntry;

/** Orders endpoints while this daemon holds the lease, and watches which there are otherwise. */
public final class EndpointAutoscaler {

    private static final Logger LOG = LoggerFactory.getLogger(EndpointAutoscaler.class);

    private static final int MILLIS_PER_SECOND = 1_000;

    /** How long answers to the orders of one round are gathered; an answer takes some 4 ms. */
    private static final int REFUSAL_BATCH_MILLIS = 30;

    private final EventLoop mLoop;
    private final ServingState mState;
    private final FencedCloudClient mCloud;
    private final CapacityPlanner mPlanner;
    private final Supplier<Optional<Long>> mFencingToken;
    private final DemandMeter mDemand = new DemandMeter();
    private boolean mReorderScheduled;
    private Consumer<CapacityOrder> mOnOrdered = order -> {};

    EndpointAutoscaler(
            final EventLoop loop,
            final ServingState state,
            final FencedCloudClient cloud,
            final CapacityPlanner planner,
            final Supplier<Optional<Long>> token) {
        mLoop = loop;
        mState = state;
        mCloud = cloud;
        mPlanner = planner;
        mFencingToken = token;
    }

    /**
     * Sets what is done with an order that the platform has taken.
     *
     * @param onOrdered takes the order
     */
    public void onOrdered(final Consumer<CapacityOrder> onOrdered) {
        mOnOrdered = onOrdered;
    }

    /**
     * Takes an order of the daemon that holds the lease, for the time when this one does.
     *
     * @param order an order that the platform has taken
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
     * Orders endpoints at once if this daemon holds the lease, as a reclaim leaves seconds only;
     * otherwise it only watches which there are.
     */
    public void orderEndpoints() {
        final Optional<ServingConfiguration> configuration = mState.configuration().current();
        if (configuration.isEmpty()) {
            return;
        }
        final Instant now = mState.clock().instant();
        if (mFencingToken.get().isEmpty()) {
            observeEndpoints(configuration.get(), now);
            return;
        }
        recordDemand();
        for (final ServiceSpec service : configuration.get().services()) {
            final List<EndpointEntry> endpoints = countedEndpoints(service.name());
            final List<CapacityOrder> orders =
                    mPlanner.plan(service, endpoints, load(service.name()), now);
            for (final CapacityOrder order : orders) {
                if (reducesEndpoints(order, endpoints)
                        && mState.rollouts().isOpen(service.name())) {
                    continue;
                }
                mFencingToken.get().ifPresent(token -> order(token, order));
            }
        }
    }

    private List<EndpointEntry> countedEndpoints(final String service) {
        return mState.rollouts().capacityEndpoints(service, mState.endpoints().usable(service));
    }

    /**
     * Tells whether an order gives endpoints up. Between two versions a service has twice what it
     * needs, and which of them is given up would be the platform's choice.
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

    /** Notes what callers have asked so far; to be called at each tick of every daemon. */
    void recordDemand() {
        mDemand.addTotal(
                mState.quotas().offeredLoad().fleetTokens(),
                mState.quotas().offeredLoad().meanRequestTokens(),
                mState.clock().instant());
    }

    private CapacityPlanner.Load load(final String service) {
        return new CapacityPlanner.Load(
                mDemand.tokensPerSecond(),
                mDemand.minimumTokensPerSecond(),
                mState.chooser().prefillRate(service).tokensPerMillisecond() * MILLIS_PER_SECOND);
    }

    /**
     * Orders elsewhere what was refused, once for all refusals of a round. A wave of reclaims makes
     * several domains run dry together; a holder that went on at its next round lost a second of
     * the two or three that a notice gives.
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

    private void order(final long token, final CapacityOrder order) {
        mCloud.order(token, order)
                .whenComplete(
                        (taken, failure) -> {
                            if (failure == null) {
                                mPlanner.recordAnswer(order, taken);
                            }
                            if (failure == null && taken) {
                                mOnOrdered.accept(order);
                            }
                            if (failure == null && !taken) {
                                scheduleReplacementOrders();
                            }
                            LOG.atInfo()
                                    .addKeyValue("service", order.service())
                                    .addKeyValue("domain", order.domain())
                                    .addKeyValue("reclaimable", order.reclaimable())
                                    .addKeyValue("count", order.count())
                                    .addKeyValue("token", token)
                                    .addKeyValue("taken", taken)
                                    .addKeyValue("failure", String.valueOf(failure))
                                    .log("endpoints ordered");
                        });
    }
}
