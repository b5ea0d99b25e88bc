package org.whinhead.gateway.peers;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.generated.GatewayProto.Datagram;
import org.whinhead.gateway.generated.GatewayProto.PeerReport;
import org.whinhead.gateway.generated.GatewayProto.SuspectRequestRecord;
import org.whinhead.serving.crash.EndpointCrash;
import org.whinhead.serving.crash.RequestIdentity;
import org.whinhead.serving.crash.SuspectRecord;

/** Exchanges with the other daemons which requests were on endpoints that crashed. */
final class CrashMessenger {

    /** The suspected requests in a report; all are told within a few reports. */
    private static final int SUSPECTS_PER_REPORT = 8;

    /** The delays after which the answer to a suspected request is told again. */
    private static final int[] ANSWER_REPEAT_MILLIS = {100, 300, 700};

    private final EventLoop mLoop;
    private final ServingState mState;
    private final Consumer<Datagram> mSendToAll;
    private final BiConsumer<InetSocketAddress, Datagram> mSend;

    /**
     * Creates a messenger.
     *
     * @param loop the event loop
     * @param state what is known of crashes
     * @param sendToAll sends a datagram to all other daemons
     * @param send sends a datagram to one daemon
     */
    CrashMessenger(
            final EventLoop loop,
            final ServingState state,
            final Consumer<Datagram> sendToAll,
            final BiConsumer<InetSocketAddress, Datagram> send) {
        mLoop = Objects.requireNonNull(loop, "loop");
        mState = Objects.requireNonNull(state, "state");
        mSendToAll = Objects.requireNonNull(sendToAll, "sendToAll");
        mSend = Objects.requireNonNull(send, "send");
    }

    private Instant now() {
        return mState.clock().instant();
    }

    /** Tells of an endpoint that has crashed, and of the requests that were on it. */
    void sendCrash(final EndpointCrash crash) {
        CrashCodec.encode(crash).forEach(mSendToAll);
    }

    /**
     * Tells that a suspected request was answered. The message is repeated, as a daemon that misses
     * it would refuse the request, but not once endpoints have crashed under the request again: it
     * would end the new suspicion, and only at the daemons that receive it.
     */
    void sendAnswered(final RequestIdentity identity) {
        final Datagram datagram = answered(identity);
        mSendToAll.accept(datagram);
        for (final int millis : ANSWER_REPEAT_MILLIS) {
            mLoop.schedule(() -> repeatAnswered(identity, datagram), millis, TimeUnit.MILLISECONDS);
        }
    }

    private void repeatAnswered(final RequestIdentity identity, final Datagram datagram) {
        if (mState.suspects().level(identity, now()) == 0) {
            mSendToAll.accept(datagram);
        }
    }

    private static Datagram answered(final RequestIdentity identity) {
        return Datagram.newBuilder().setRequestAnswered(CrashCodec.encode(identity)).build();
    }

    /** Applies a datagram if it is one of these messages. */
    void receive(final Datagram datagram) {
        if (datagram.hasEndpointCrash()) {
            final EndpointCrash crash = CrashCodec.decode(datagram.getEndpointCrash());
            crash.requests().forEach(request -> applyCrash(crash.endpoint(), request));
        }
        if (datagram.hasRequestAnswered()) {
            mState.suspects()
                    .applyPeerAnswer(CrashCodec.decode(datagram.getRequestAnswered()), now());
        }
    }

    private void applyCrash(final String endpoint, final EndpointCrash.Request request) {
        mState.suspects().applyPeerCrash(request.identity(), endpoint, request.level(), now());
    }

    /** Adds requests that are held back, for daemons that have missed their crashes. */
    void addTo(final PeerReport.Builder report) {
        mState.suspects()
                .nextRecords(SUSPECTS_PER_REPORT, now())
                .forEach(suspect -> report.addSuspects(CrashCodec.encode(suspect)));
    }

    /** Applies the requests of a report; tells its sender of those that were answered since. */
    void receive(final PeerReport report) {
        for (final SuspectRequestRecord suspect : report.getSuspectsList()) {
            final SuspectRecord record = CrashCodec.decode(suspect);
            if (mState.suspects().applyPeerRecord(record, now())) {
                mSend.accept(Addresses.parse(report.getPeerAddress()), answered(record.identity()));
            }
        }
    }
}
