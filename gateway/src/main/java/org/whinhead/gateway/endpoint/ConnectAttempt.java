package org.whinhead.gateway.endpoint;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ConnectTimeoutException;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.function.Supplier;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.reach.AccessPath;
import org.whinhead.serving.reach.DirectLoss;

/**
 * Opens one connection to an endpoint on the way that works.
 *
 * <p>A direct connection that is refused or not accepted soon is tried through another daemon
 * besides. If that one succeeds first, the fault lies between this daemon and the endpoint. Nothing
 * is sent before one of the connections is chosen, and the other one is closed.
 */
final class ConnectAttempt {

    /** The time after which all attempts together have failed. */
    private static final Duration TIMEOUT = Duration.ofMillis(300);

    /** Far longer than an endpoint needs to accept a connection. */
    private static final Duration RELAY_DELAY = Duration.ofMillis(100);

    private final EndpointConnector mConnector;
    private final EndpointEntry mEndpoint;
    private final Supplier<ChannelHandler> mHandlers;
    private final ConnectListener mListener;
    private Future<?> mTimeout;
    private Future<?> mRelayTimer;
    private Channel mDirect;
    private RelayedConnect mRelayed;
    private boolean mDirectFailed;
    private DirectLoss mDirectLoss = DirectLoss.SILENT;
    private boolean mRelayFailed;
    private boolean mEndpointNotReached;
    private boolean mEnded;

    ConnectAttempt(
            final EndpointConnector connector,
            final EndpointEntry endpoint,
            final Supplier<ChannelHandler> handlers,
            final ConnectListener listener) {
        mConnector = connector;
        mEndpoint = endpoint;
        mHandlers = handlers;
        mListener = listener;
    }

    void start() {
        mTimeout = mConnector.schedule(this::fail, TIMEOUT);
        final AccessPath path = mConnector.reach().pathTo(mEndpoint.id(), mEndpoint.service());
        if (path == AccessPath.RELAYED) {
            connectRelayed();
        } else {
            mRelayTimer = mConnector.schedule(this::connectRelayed, RELAY_DELAY);
            connectDirectly();
        }
    }

    private void connectDirectly() {
        mDirect =
                mConnector.connectDirectly(
                        mEndpoint,
                        mHandlers.get(),
                        channel -> connected(channel, AccessPath.DIRECT),
                        this::directFailed);
    }

    private void directFailed(final Throwable cause) {
        if (mEnded) {
            return;
        }
        mDirectFailed = true;
        if (!(cause instanceof ConnectTimeoutException)) {
            mDirectLoss = DirectLoss.REFUSED;
        }
        if (mRelayFailed) {
            fail();
        } else {
            connectRelayed();
        }
    }

    private void connectRelayed() {
        if (mEnded || mRelayed != null) {
            return;
        }
        if (mDirect != null) {
            mConnector.recordUnanswered(mEndpoint);
        }
        mRelayed =
                mConnector.connectRelayed(
                        mEndpoint,
                        mHandlers,
                        new RelayedConnect.Listener() {
                            @Override
                            public void relayed(final Channel channel, final String relay) {
                                connected(channel, AccessPath.RELAYED);
                            }

                            @Override
                            public void notRelayed(final boolean endpointNotReached) {
                                relayFailed(endpointNotReached);
                            }
                        });
    }

    private void relayFailed(final boolean endpointNotReached) {
        if (mEnded) {
            return;
        }
        mRelayFailed = true;
        mEndpointNotReached = endpointNotReached;
        if (mDirectFailed) {
            fail();
        } else if (mDirect == null) {
            connectDirectly();
        }
    }

    private void connected(final Channel channel, final AccessPath path) {
        if (mEnded) {
            channel.close();
            return;
        }
        if (path == AccessPath.RELAYED && mDirect != null) {
            mConnector
                    .reach()
                    .recordRelayed(
                            mEndpoint.id(), mEndpoint.service(), mDirectLoss, mConnector.now());
        }
        end();
        mListener.connected(channel, path);
    }

    private void fail() {
        if (mEnded) {
            return;
        }
        end();
        final boolean cutOff = mConnector.reach().isCutOff(mEndpoint.service());
        mListener.failed(
                cutOff && !mEndpointNotReached ? ConnectFailure.PATH : ConnectFailure.ENDPOINT);
    }

    /** Cancels the timers and the ways that did not win. */
    private void end() {
        mEnded = true;
        mTimeout.cancel(false);
        if (mRelayTimer != null) {
            mRelayTimer.cancel(false);
        }
        if (mRelayed != null) {
            mRelayed.cancel();
        }
        if (mDirect != null && !mDirect.isActive()) {
            mDirect.close();
        }
    }
}
