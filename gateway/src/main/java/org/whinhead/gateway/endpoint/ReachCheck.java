package org.whinhead.gateway.endpoint;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ConnectTimeoutException;
import io.netty.util.concurrent.Future;
import java.time.Duration;
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

    /** The time after which another daemon is asked that may reach the endpoint. */
    private static final Duration RELAYED_ANSWER_TIMEOUT = Duration.ofMillis(100);

    private static final Duration TIMEOUT = Duration.ofMillis(400);

    private final EndpointConnector mConnector;
    private final EndpointEntry mEndpoint;
    private final Function<Runnable, HealthProbe> mProbes;
    private final Consumer<ReachCheck> mDone;
    private ReachLevel mDirectLevel = ReachLevel.NOT_CONNECTED;
    private ReachLevel mRelayedLevel = ReachLevel.NOT_CONNECTED;
    private DirectLoss mDirectLoss = DirectLoss.SILENT;
    private Channel mDirect;
    private RelayedConnect mRelayed;
    private HealthProbe mRelayedProbe;
    private Channel mRelayedChannel;
    private String mRelay = "";
    private Future<?> mRelayTimer;
    private Future<?> mTimeout;
    private Future<?> mAnswerTimeout;
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

    /** Returns the name of the daemon that relayed the connection; empty if none did. */
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
        mRelayedProbe = mProbes.apply(this::relayedAnswered);
        return mRelayedProbe;
    }

    @Override
    public void relayed(final Channel channel, final String relay) {
        mRelay = relay;
        mRelayedChannel = channel;
        mRelayedLevel = ReachLevel.CONNECTED;
        mRelayedProbe.send(channel);
        mAnswerTimeout =
                mConnector.schedule(() -> relayUnanswered(channel), RELAYED_ANSWER_TIMEOUT);
        channel.closeFuture().addListener(done -> relayUnanswered(channel));
    }

    /** Asks other daemons, as the one that has connected may be cut off without knowing it yet. */
    private void relayUnanswered(final Channel channel) {
        if (mEnded || channel != mRelayedChannel) {
            return;
        }
        mAnswerTimeout.cancel(false);
        mRelayedChannel = null;
        channel.close();
        mConnector.relays().recordFailure(mRelay, mConnector.now());
        askRelays();
    }

    @Override
    public void notRelayed(final boolean endpointNotReached) {
        end();
    }

    private void relayedAnswered() {
        mRelayedLevel = ReachLevel.ANSWERED;
        end();
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
        if (mRelayedChannel != null) {
            mAnswerTimeout.cancel(false);
            mRelayedChannel.close();
        }
        mDone.accept(this);
    }
}
