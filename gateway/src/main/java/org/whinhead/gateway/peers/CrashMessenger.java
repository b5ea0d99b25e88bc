package org.whinhead.gateway.peers;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.whinhead.gateway.crash.CrashNews;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.generated.GatewayProto.Datagram;
import org.whinhead.gateway.generated.GatewayProto.PeerReport;
import org.whinhead.gateway.generated.GatewayProto.SuspectFeatureRecord;
import org.whinhead.serving.crash.EndpointCrash;
import org.whinhead.serving.crash.FeatureAnswer;
import org.whinhead.serving.crash.FeatureLevel;
import org.whinhead.serving.crash.RequestFeature;
import org.whinhead.serving.crash.SuspectRecord;

/** Exchanges with the other daemons what requests on endpoints that crashed have in common. */
final class CrashMessenger implements CrashNews {

    /** The suspected features in a report; all are told within a few reports. */
    private static final int SUSPECTS_PER_REPORT = 8;

    /** The delays after which the complete answer to a suspected request is told again. */
    private static final int[] ANSWER_REPEAT_MILLIS = {100, 300, 700};

    private final EventLoop mLoop;
    private final ServingState mState;
    private final Consumer<Datagram> mSendToAll;
    private final BiConsumer<InetSocketAddress, Datagram> mSend;
    private Consumer<String> mOnPeerCrash = endpoint -> {};

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

    /**
     * Sets the handler of crashes that other daemons have found.
     *
     * @param onPeerCrash receives the endpoint's id
     */
    void onPeerCrash(final Consumer<String> onPeerCrash) {
        mOnPeerCrash = Objects.requireNonNull(onPeerCrash, "onPeerCrash");
    }

    private Instant now() {
        return mState.clock().instant();
    }

    @Override
    public void endpointCrashed(final EndpointCrash crash) {
        CrashCodec.encode(crash).forEach(mSendToAll);
    }

    /**
     * Tells of an answer. The message is repeated, as a daemon that misses it would refuse requests
     * that are innocent, but not once endpoints have crashed again under requests with these
     * features: it would end the new suspicion, and only at the daemons that receive it.
     */
    @Override
    public void answered(final FeatureAnswer answer) {
        final Datagram datagram = CrashCodec.encode(answer);
        mSendToAll.accept(datagram);
        for (final int millis : ANSWER_REPEAT_MILLIS) {
            mLoop.schedule(() -> repeatAnswer(answer, datagram), millis, TimeUnit.MILLISECONDS);
        }
    }

    private void repeatAnswer(final FeatureAnswer answer, final Datagram datagram) {
        final boolean isCurrent =
                answer.isComplete()
                        && answer.features().stream()
                                .allMatch(
                                        answered ->
                                                mState.suspects().level(answered.feature(), now())
                                                        <= answered.level());
        if (isCurrent) {
            mSendToAll.accept(datagram);
        }
    }

    @Override
    public void started(final List<RequestFeature> features, final String endpoint) {
        mSendToAll.accept(CrashCodec.encodeStart(features, endpoint));
    }

    /** Applies a datagram if it is one of these messages. */
    void receive(final Datagram datagram) {
        if (datagram.hasEndpointCrash()) {
            final EndpointCrash crash = CrashCodec.decode(datagram.getEndpointCrash());
            crash.runs()
                    .forEach(
                            run ->
                                    mState.suspects()
                                            .applyPeerCrash(
                                                    run.features(), crash.endpoint(), now()));
            mOnPeerCrash.accept(crash.endpoint());
        }
        if (datagram.hasFeatureAnswer()) {
            mState.suspects()
                    .applyPeerAnswer(CrashCodec.decode(datagram.getFeatureAnswer()), now());
        }
        if (datagram.hasFeatureStart()) {
            mState.suspects()
                    .applyPeerStart(
                            CrashCodec.decode(datagram.getFeatureStart()),
                            datagram.getFeatureStart().getEndpoint(),
                            now());
        }
    }

    /** Adds features whose requests are held back, for daemons that have missed their crashes. */
    void addTo(final PeerReport.Builder report) {
        mState.suspects()
                .nextRecords(SUSPECTS_PER_REPORT, now())
                .forEach(suspect -> report.addSuspects(CrashCodec.encode(suspect)));
    }

    /** Applies the features of a report; tells its sender of those that were answered since. */
    void receive(final PeerReport report) {
        for (final SuspectFeatureRecord suspect : report.getSuspectsList()) {
            final SuspectRecord record = CrashCodec.decode(suspect);
            if (mState.suspects().applyPeerRecord(record, now())) {
                mSend.accept(
                        Addresses.parse(report.getPeerAddress()),
                        CrashCodec.encode(
                                new FeatureAnswer(
                                        List.of(
                                                new FeatureLevel(
                                                        record.feature(),
                                                        mState.suspects()
                                                                .level(record.feature(), now()))),
                                        true)));
            }
        }
    }
}
