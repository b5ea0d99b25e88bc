package org.whinhead.gateway;

import io.netty.channel.EventLoop;
import java.net.InetAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.whinhead.gateway.endpoint.BrittleServicesLogger;
import org.whinhead.gateway.endpoint.ConnectionLogger;
import org.whinhead.gateway.endpoint.EndpointConnections;
import org.whinhead.gateway.endpoint.EndpointConnector;
import org.whinhead.gateway.endpoint.EndpointHttpClients;
import org.whinhead.gateway.endpoint.EndpointProtocol;
import org.whinhead.gateway.endpoint.EndpointResponse;
import org.whinhead.gateway.endpoint.ReachMonitor;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.metrics.RequestMetrics;
import org.whinhead.gateway.relay.ConfigurationCopy;
import org.whinhead.gateway.relay.RelayServer;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.member.MemberTable;
import org.whinhead.serving.reach.RelaySelector;

/** The ways from this daemon to the endpoints, its own and those through other daemons. */
final class EndpointAccess {

    private final ServingState mState;
    private final MemberTable mMembers;
    private final GatewaySettings mSettings;
    private final EndpointConnections mConnections;
    private final EndpointHttpClients mClients;
    private final ReachMonitor mMonitor;
    private final BrittleServicesLogger mBrittle;
    private final RelayServer mRelayServer;

    EndpointAccess(
            final EventLoop loop,
            final GatewaySettings settings,
            final ServingState state,
            final MemberTable members,
            final EndpointProtocol protocol,
            final RequestMetrics counts) {
        mState = state;
        mMembers = members;
        mSettings = settings;
        final InetAddress localAddress = settings.self().peerAddress().getAddress();
        final EndpointConnector connector =
                new EndpointConnector(
                        loop,
                        state.clock(),
                        localAddress,
                        state.reach(),
                        new RelaySelector(members, new Random()),
                        new ConnectionLogger(counts));
        mConnections = new EndpointConnections(state.clock(), protocol, connector, state.reach());
        if (state.pools().limitsConnections()) {
            mConnections.limitTo(state::connectionPart);
            state.chooser().preferIdle(mConnections::hasIdle);
        }
        mClients = new EndpointHttpClients(loop, connector);
        mMonitor =
                new ReachMonitor(
                        connector,
                        mConnections,
                        protocol,
                        state.reach(),
                        state.endpoints(),
                        state::healthPath,
                        new Random());
        mMonitor.exceptPaused(id -> state.pauses().left(id, state.clock().instant()).isPresent());
        counts.addGauge(
                "whinhead.endpoints.paused", () -> state.pauses().count(state.clock().instant()));
        mRelayServer =
                new RelayServer(
                        loop,
                        localAddress,
                        id -> state.endpoints().find(id).filter(state::mayReceive),
                        members::hasAddress);
        mRelayServer.relayOnly(
                endpoint ->
                        state.reach()
                                .mayRelay(
                                        endpoint.id(), endpoint.service(), state.clock().instant()),
                connector::recordUnanswered);
        mBrittle = new BrittleServicesLogger(state.brittle());
        counts.addGauge("whinhead.services.brittle", mBrittle::serviceCount);
        counts.addGauges(
                "whinhead.endpoint.connections.open",
                List.of("service"),
                mConnections::openByService);
        counts.addGauge("whinhead.endpoints.limited", state.requestLimits()::limitedCount);
        counts.addGauge("whinhead.permits.granted", state.permits()::grantedCount);
        counts.addGauge("whinhead.permits.denied", state.permits()::deniedCount);
        counts.addGauge(
                "whinhead.permits.owners.unreachable", state.permits()::unreachableOwnerCount);
        counts.addGauge("whinhead.endpoints.relayed", state.reach()::relayedCount);
        counts.addGauge("whinhead.endpoints.cut.off", () -> mMonitor.isCutOff() ? 1 : 0);
        counts.addGauge("whinhead.relayed.connections", mRelayServer::connectionCount);
    }

    EndpointConnections connections() {
        return mConnections;
    }

    EndpointHttpClients clients() {
        return mClients;
    }

    /**
     * Starts to relay connections for other daemons.
     *
     * @param reportNow sends a report to the other daemons after a change of this daemon's reach
     */
    void start(final Runnable reportNow) {
        mRelayServer.listen(mSettings.relayAddress());
        mMonitor.onCutOffChange(
                () -> {
                    mMembers.setSelfCutOff(mMonitor.isCutOff());
                    mMonitor.cutOffServices().forEach(this::clearUnreachable);
                    reportNow.run();
                });
    }

    /** Ends the backoff of a service's endpoints: this daemon was cut off, they weren't down. */
    private void clearUnreachable(final String service) {
        mState.chooser().clearUnreachable(mState.endpoints().usable(service));
    }

    /** Starts the checks that are due; must be called several times per second. */
    void tick() {
        final Instant now = mState.clock().instant();
        mMonitor.tick(now);
        mBrittle.tick(now);
        mConnections.closeBeyondLimit();
    }

    /**
     * Sets the configuration that is sent to daemons that the store doesn't serve.
     *
     * @param configuration returns the configuration in force
     */
    void shareConfiguration(final Supplier<Optional<ConfigurationCopy>> configuration) {
        mRelayServer.shareConfiguration(configuration);
    }

    /**
     * Sets the handler of answers to health checks.
     *
     * @param onHealthResponse receives the endpoint that has answered, and the head
     */
    void onHealthResponse(final BiConsumer<EndpointEntry, EndpointResponse> onHealthResponse) {
        mMonitor.onHealthResponse(onHealthResponse);
    }

    /**
     * Sets the handler of pauses for which endpoints have asked in responses that were relayed.
     *
     * @param onPause receives the endpoint's id and the length of the pause
     */
    void onRelayedPause(final BiConsumer<String, Duration> onPause) {
        mRelayServer.onPause(onPause);
    }

    /** Lets the relayed connections to an endpoint end with their current request. */
    void drainRelayed(final String endpoint) {
        mRelayServer.drain(endpoint);
    }

    /** Lets relayed connections end with their current request. */
    void drain() {
        mRelayServer.drain();
    }

    /**
     * Returns the number of connections that this daemon relays for others.
     *
     * @return the number of connections
     */
    int relayedCount() {
        return mRelayServer.connectionCount();
    }
}
