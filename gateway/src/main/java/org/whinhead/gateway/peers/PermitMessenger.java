package org.whinhead.gateway.peers;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.generated.GatewayProto.Datagram;
import org.whinhead.gateway.time.GuardedTask;
import org.whinhead.serving.ratelimit.PermitRequest;
import org.whinhead.serving.ratelimit.PermitResponse;
import org.whinhead.serving.ratelimit.PermitTransport;

/** Sends the messages of permits as datagrams, and handles those of other daemons. */
public final class PermitMessenger implements PermitTransport {

    private static final Logger LOG = LoggerFactory.getLogger(PermitMessenger.class);

    private final EventLoop mLoop;
    private ServingState mState;
    private BiConsumer<InetSocketAddress, Datagram> mSender = (receiver, datagram) -> {};

    /**
     * Creates a messenger that is not connected.
     *
     * @param loop the event loop
     */
    public PermitMessenger(final EventLoop loop) {
        mLoop = loop;
    }

    /**
     * Connects the messenger.
     *
     * @param state the permits and the clock
     * @param sender sends a datagram to an address
     */
    public void connect(
            final ServingState state, final BiConsumer<InetSocketAddress, Datagram> sender) {
        mState = state;
        mSender = sender;
    }

    private Instant now() {
        return mState.clock().instant();
    }

    @Override
    public void sendRequest(final InetSocketAddress owner, final PermitRequest request) {
        mSender.accept(
                owner, Datagram.newBuilder().setPermitRequest(PermitCodec.encode(request)).build());
    }

    @Override
    public void sendResponse(final InetSocketAddress receiver, final PermitResponse response) {
        mSender.accept(
                receiver,
                Datagram.newBuilder().setPermitResponse(PermitCodec.encode(response)).build());
    }

    @Override
    public void sendReturn(final InetSocketAddress owner, final PermitRequest request) {
        mSender.accept(
                owner, Datagram.newBuilder().setPermitReturn(PermitCodec.encode(request)).build());
    }

    @Override
    public void scheduleTimeoutCheck(final Duration delay) {
        mLoop.schedule(
                () ->
                        GuardedTask.run(
                                LOG, "check permits", () -> mState.permits().checkTimeouts(now())),
                delay.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    /**
     * Handles a datagram of another daemon if it is one of these messages.
     *
     * @param datagram the datagram
     * @param sender the address of that daemon
     */
    public void receive(final Datagram datagram, final InetSocketAddress sender) {
        if (datagram.hasPermitRequest()) {
            mState.permits()
                    .handleRequest(PermitCodec.decode(datagram.getPermitRequest()), sender, now());
        }
        if (datagram.hasPermitResponse()) {
            mState.permits()
                    .handleResponse(
                            PermitCodec.decode(datagram.getPermitResponse()), sender, now());
        }
        if (datagram.hasPermitReturn()) {
            mState.permits().handleReturn(PermitCodec.decode(datagram.getPermitReturn()));
        }
    }
}
