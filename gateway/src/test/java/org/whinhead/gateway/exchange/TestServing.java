package org.whinhead.gateway.exchange;

import io.netty.channel.DefaultEventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.Random;
import org.whinhead.gateway.peers.PermitMessenger;
import org.whinhead.gateway.quota.DatagramQuotaTransport;
import org.whinhead.serving.balance.EndpointChooser;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.limit.ServiceRetryBudget;
import org.whinhead.serving.quota.ClockReading;
import org.whinhead.serving.quota.CustomerQuotas;
import org.whinhead.serving.quota.HeldShares;
import org.whinhead.serving.quota.QuotaTolerance;
import org.whinhead.serving.speed.EndpointSpeeds;
import org.whinhead.serving.usage.UsageLedger;
import org.whinhead.serving.usage.UsageWindows;

/** Creates decision objects and endpoints for tests. */
public final class TestServing {

    private static final InetSocketAddress SELF = new InetSocketAddress("127.0.0.1", 7600);
    private static final Duration WINDOW = Duration.ofSeconds(5);

    private TestServing() {}

    /** Creates a state without configuration and endpoints, with one clock as both clocks. */
    public static ServingState state(final InstantSource clock) {
        return state(clock, false);
    }

    /** Creates such a state of a deployment with or without roll-outs. */
    public static ServingState state(final InstantSource clock, final boolean rollouts) {
        return state(clock, rollouts, new EndpointChooser("domain-a", new Random(1)));
    }

    /** Creates such a state that learns the speeds of endpoints. */
    public static ServingState learningState(final InstantSource clock) {
        return state(
                clock,
                false,
                new EndpointChooser("domain-a", new Random(1), Optional.of(new EndpointSpeeds())));
    }

    private static ServingState state(
            final InstantSource clock, final boolean rollouts, final EndpointChooser chooser) {
        return ServingState.builder()
                .clocks(clock, clock)
                .chooser(chooser)
                .limits(quotas(clock), new ServiceRetryBudget(0.2, 10, WINDOW))
                .usage(new UsageLedger("self"), new UsageWindows(WINDOW))
                .rollouts(rollouts)
                .permits(SELF, new PermitMessenger(new DefaultEventLoop()))
                .build();
    }

    private static CustomerQuotas quotas(final InstantSource clock) {
        return new CustomerQuotas(
                "self",
                new HeldShares(
                        SELF,
                        new QuotaTolerance(WINDOW, 0.1, 1_000),
                        new ClockReading(clock.instant(), clock.instant())),
                new DatagramQuotaTransport(new DefaultEventLoop(), "self"),
                new Random(1));
    }

    /** Creates an entry of an endpoint of the service "pool". */
    public static EndpointEntry endpoint(final String id, final boolean leaving) {
        return EndpointEntry.builder(
                        id, "pool", new InetSocketAddress("127.0.0.1", 9000), "domain-a")
                .slots(96)
                .leaving(leaving, Optional.empty())
                .build();
    }
}
