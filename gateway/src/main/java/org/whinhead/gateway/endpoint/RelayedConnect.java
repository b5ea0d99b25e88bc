package org.whinhead.gateway.endpoint;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Supplier;
import org.whinhead.gateway.relay.RelayFailure;
import org.whinhead.gateway.relay.RelayListener;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.member.Relay;

/** Asks other daemons, one after the other, to relay a connection to an endpoint. */
final class RelayedConnect {

    /** The daemons that are asked, most of which may be cut off as well and deny at once. */
    private static final int MAX_RELAYS = 16;

    /** The daemons that try: the first one may be cut off as well and not know it yet. */
    private static final int MAX_TRIES = 2;

    /**
     * The time after which a denial costs a try as well: whoever waits for the outcome must learn
     * soon that nobody reaches an endpoint that has crashed.
     */
    private static final Duration FREE_DENIAL_TIME = Duration.ofMillis(20);

    /** Two round trips, and the time for which a relay waits for the endpoint. */
    private static final Duration REPLY_TIMEOUT = Duration.ofMillis(150);

    private final EndpointConnector mConnector;
    private final EndpointEntry mEndpoint;
    private final Supplier<ChannelHandler> mHandlers;
    private final Listener mListener;
    private final Deque<Relay> mLeft = new ArrayDeque<>();
    private Channel mChannel;
    private Future<?> mTimeout;
    private Instant mStartedAt;
    private int mTries;
    private boolean mEndpointNotReached;
    private boolean mEnded;

    RelayedConnect(
            final EndpointConnector connector,
            final EndpointEntry endpoint,
            final Supplier<ChannelHandler> handlers,
            final Listener listener) {
        mConnector = connector;
        mEndpoint = endpoint;
        mHandlers = handlers;
        mListener = listener;
    }

    /** Receives the outcome. */
    interface Listener {

        /**
         * Called when a daemon relays the connection.
         *
         * @param channel the connection
         * @param relay the daemon's name
         */
        void relayed(Channel channel, String relay);

        /**
         * Called if no daemon does.
         *
         * @param endpointNotReached whether a daemon did not reach the endpoint either
         */
        void notRelayed(boolean endpointNotReached);
    }

    void start() {
        mStartedAt = mConnector.now();
        mLeft.addAll(mConnector.relays().select(MAX_RELAYS, mConnector.now()));
        askNext();
    }

    private void askNext() {
        final Relay relay = mTries < MAX_TRIES ? mLeft.poll() : null;
        if (relay == null) {
            mEnded = true;
            mListener.notRelayed(mEndpointNotReached);
            return;
        }
        final RequestListener request = new RequestListener(relay);
        mChannel = mConnector.relayClient().open(relay, mEndpoint.id(), mHandlers.get(), request);
        mTimeout = mConnector.schedule(request::timedOut, REPLY_TIMEOUT);
    }

    /** Cancels the attempt; the listener is not called any more. */
    void cancel() {
        if (!mEnded) {
            mEnded = true;
            closeRequest();
        }
    }

    private void closeRequest() {
        if (mTimeout != null) {
            mTimeout.cancel(false);
        }
        if (mChannel != null) {
            mChannel.close();
        }
    }

    private boolean isLate() {
        return mConnector.now().isAfter(mStartedAt.plus(FREE_DENIAL_TIME));
    }

    private final class RequestListener implements RelayListener {
        private final Relay mRelay;
        private boolean mDone;

        private RequestListener(final Relay relay) {
            mRelay = relay;
        }

        @Override
        public void connected(final Channel channel) {
            if (mDone || mEnded) {
                channel.close();
                return;
            }
            mDone = true;
            mEnded = true;
            mTimeout.cancel(false);
            mConnector.logger().relayed();
            mListener.relayed(channel, mRelay.daemon());
        }

        @Override
        public void failed(final RelayFailure failure) {
            if (mDone || mEnded) {
                return;
            }
            mDone = true;
            closeRequest();
            mConnector.logger().relayFailed(mEndpoint, mRelay, failure);
            if (failure != RelayFailure.DENIED || isLate()) {
                mTries++;
            }
            if (failure == RelayFailure.ENDPOINT_NOT_REACHED) {
                mEndpointNotReached = true;
            } else {
                mConnector.relays().recordFailure(mRelay.daemon(), mConnector.now());
            }
            askNext();
        }

        private void timedOut() {
            failed(RelayFailure.NOT_RELAYED);
        }
    }
}
