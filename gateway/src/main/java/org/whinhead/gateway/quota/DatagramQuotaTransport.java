package org.whinhead.gateway.quota;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.generated.GatewayProto.Datagram;
import org.whinhead.gateway.generated.GatewayProto.TokenAnswerRecord;
import org.whinhead.gateway.generated.GatewayProto.TokenAskRecord;
import org.whinhead.serving.quota.QuotaTransport;
import org.whinhead.serving.quota.TokenRequest;

/** Sends token requests as datagrams, and answers those of other daemons. */
public final class DatagramQuotaTransport implements QuotaTransport {

    private final EventLoop mLoop;
    private final String mIncarnation;
    private ServingState mState;
    private BiConsumer<InetSocketAddress, Datagram> mSender = (receiver, datagram) -> {};

    /**
     * Creates a transport that is not connected.
     *
     * @param loop the event loop
     * @param incarnation the id of this daemon's process
     */
    public DatagramQuotaTransport(final EventLoop loop, final String incarnation) {
        mLoop = loop;
        mIncarnation = incarnation;
    }

    /**
     * Connects the transport.
     *
     * @param state the quotas and the clocks
     * @param sender sends a datagram to an address
     */
    public void connect(
            final ServingState state, final BiConsumer<InetSocketAddress, Datagram> sender) {
        mState = state;
        mSender = sender;
    }

    @Override
    public void sendRequest(final InetSocketAddress holder, final TokenRequest request) {
        mSender.accept(
                holder,
                Datagram.newBuilder()
                        .setTokenAsk(QuotaCodec.encode(mIncarnation, request))
                        .build());
    }

    @Override
    public void sendReturn(final InetSocketAddress holder, final TokenRequest request) {
        mSender.accept(
                holder,
                Datagram.newBuilder()
                        .setTokenReturn(QuotaCodec.encode(mIncarnation, request))
                        .build());
    }

    @Override
    public void scheduleTimeoutCheck(final Duration delay) {
        mLoop.schedule(
                () -> mState.quotas().checkTimeouts(mState.moment()),
                delay.toMillis(),
                TimeUnit.MILLISECONDS);
    }

    /**
     * Handles a datagram of another daemon.
     *
     * @param datagram a token request, a response or a return of tokens
     * @param sender the address of that daemon
     */
    public void receive(final Datagram datagram, final InetSocketAddress sender) {
        if (datagram.hasTokenAsk()) {
            sendAnswer(datagram.getTokenAsk(), sender);
        }
        if (datagram.hasTokenReturn()) {
            final TokenAskRecord record = datagram.getTokenReturn();
            mState.quotas()
                    .heldShares()
                    .returnTokens(record.getClaimant(), QuotaCodec.decode(record), mState.moment());
        }
        if (datagram.hasTokenAnswer()) {
            applyAnswer(datagram.getTokenAnswer());
        }
    }

    private void sendAnswer(final TokenAskRecord record, final InetSocketAddress claimant) {
        final TokenAnswerRecord answer =
                QuotaCodec.encode(
                        record.getClaimant(),
                        mState.quotas()
                                .heldShares()
                                .handleRequest(
                                        record.getClaimant(),
                                        QuotaCodec.decode(record),
                                        mState.moment()));
        mSender.accept(claimant, Datagram.newBuilder().setTokenAnswer(answer).build());
    }

    /** Ignores responses to an earlier process, as their ids may be in use again. */
    private void applyAnswer(final TokenAnswerRecord record) {
        if (record.getClaimant().equals(mIncarnation)) {
            mState.quotas().handleResponse(QuotaCodec.decode(record), mState.moment());
        }
    }
}
