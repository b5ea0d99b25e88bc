package org.whinhead.gateway.endpoint;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ConnectTimeoutException;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.reach.DirectLoss;
import org.whinhead.serving.reach.ReachLevel;

/**
 * Checks whether an endpoint answers on a new direct connection, and if it doesn't soon, whether it
 * answers through another daemon.
 *
 * <p>A connection may be accepted on the endpoint's behalf and lead nowhere, so only a response
 * counts.
 */
final class ReachCheck implements RelayedConnect.Listener {

    /** A health check takes a few milliseconds, unless the endpoint has no free slot. */
    private static final Duration RELAY_DELAY = Duration.ofMillis(100);

    /** The time after which another daemon is asked besides: the first one may be cut off, too. */
    private static final Duration RELAYED_ANSWER_TIME = Duration.ofMillis(100);

    private static final Duration TIMEOUT = Duration.ofMillis(400);

    private final EndpointConnector mConnector;
    private final EndpointEntry mEndpoint;
    private final Function<Runnable, HealthProbe> mProbes;
    private final Consumer<ReachCheck> mDone;
    private final Set<Channel> mRelayedChannels = new HashSet<>();
    private ReachLevel mDirectLevel = ReachLevel.NOT_CONNECTED;
    private ReachLevel mRelayedLevel = ReachLevel.NOT_CONNECTED;
    private DirectLoss mDirectLoss = DirectLoss.SILENT;
    private Channel mDirect;
    private RelayedConnect mRelayed;
    private RelayedProbe mRelayedProbe;
    private String mRelay = "";
    private Future<?> mRelayTimer;
    private Future<?> mTimeout;
    private boolean mEnded;

    /**
     * Creates a check.
     *
     * @param connector opens the connections
     * @param endpoint the endpoint
     * @param probes creates a health check that runs an action when it is answered
     * @param done receives this check when it has ended
     */
    ReachCheck(
            final EndpointConnector connector,
            final EndpointEntry endpoint,
            final Function<Runnable, HealthProbe> probes,
            final Consumer<ReachCheck> done) {
        mConnector = connector;
        mEndpoint = endpoint;
        mProbes = probes;
        mDone = done;
    }

    void start() {
        mTimeout = mConnector.schedule(this::end, TIMEOUT);
        mRelayTimer = mConnector.schedule(this::connectRelayed, RELAY_DELAY);
        final HealthProbe probe = mProbes.apply(this::directAnswered);
        mDirect =
                mConnector.connectDirectly(
                        mEndpoint,
                        probe,
                        channel -> {
                            mDirectLevel = ReachLevel.CONNECTED;
                            probe.send(channel);
                        },
                        this::directFailed);
        mDirect.closeFuture().addListener(done -> directEnded());
    }

    EndpointEntry endpoint() {
        return mEndpoint;
    }

    ReachLevel directLevel() {
        return mDirectLevel;
    }

    ReachLevel relayedLevel() {
        return mRelayedLevel;
    }

    DirectLoss directLoss() {
        return mDirectLoss;
    }

    /** Returns the name of the daemon through which the endpoint came furthest; empty if none. */
    String relay() {
        return mRelay;
    }

    private void directAnswered() {
        mDirectLevel = ReachLevel.ANSWERED;
        end();
    }

    private void directFailed(final Throwable cause) {
        if (!(cause instanceof ConnectTimeoutException)) {
            mDirectLoss = DirectLoss.REFUSED;
            connectRelayed();
        }
    }

    private void directEnded() {
        if (!mEnded && mDirectLevel == ReachLevel.CONNECTED) {
            mDirectLoss = DirectLoss.REFUSED;
            connectRelayed();
        }
    }

    private void connectRelayed() {
        if (!mEnded && mRelayed == null) {
            mConnector.recordUnanswered(mEndpoint);
            askRelays();
        }
    }

    private void askRelays() {
        mRelayed = mConnector.connectRelayed(mEndpoint, this::nextRelayedProbe, this);
    }

    private ChannelHandler nextRelayedProbe() {
        mRelayedProbe = new RelayedProbe();
        return mRelayedProbe.mProbe;
    }

    @Override
    public void relayed(final Channel channel, final String relay) {
        mRelayedLevel = ReachLevel.CONNECTED;
        mRelayedProbe.start(channel, relay);
    }

    @Override
    public void notRelayed(final boolean endpointNotReached) {
        if (mRelayedChannels.stream().noneMatch(Channel::isActive)) {
            end();
        }
    }

    private void end() {
        if (mEnded) {
            return;
        }
        mEnded = true;
        mTimeout.cancel(false);
        mRelayTimer.cancel(false);
        mDirect.close();
        if (mRelayed != null) {
            mRelayed.cancel();
        }
        mRelayedChannels.forEach(Channel::close);
        mDone.accept(this);
    }

    /** A health check through one daemon. */
    private final class RelayedProbe {
        private final HealthProbe mProbe = mProbes.apply(this::answered);
        private String mRelayName;
        private boolean mIsPassedOver;

        private void start(final Channel channel, final String relay) {
            mRelay = relay;
            mRelayName = relay;
            mRelayedChannels.add(channel);
            mProbe.send(channel);
            mConnector.schedule(this::passOver, RELAYED_ANSWER_TIME);
            channel.closeFuture().addListener(done -> passOver());
        }

        /** Asks another daemon; an answer through this one still counts. */
        private void passOver() {
            if (!mEnded && !mIsPassedOver) {
                mIsPassedOver = true;
                mConnector.relays().recordFailure(mRelayName, mConnector.now());
                askRelays();
            }
        }

        private void answered() {
            mRelay = mRelayName;
            mRelayedLevel = ReachLevel.ANSWERED;
            end();
        }
    }
}
