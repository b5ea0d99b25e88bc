package org.whinhead.peer;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.model.VmId;
import org.whinhead.membership.DaemonAddress;
import org.whinhead.peer.generated.PeerProto.Envelope;
import org.whinhead.peer.generated.PeerProto.ExplainReply;
import org.whinhead.peer.generated.PeerProto.ExplainRequest;
import org.whinhead.peer.generated.PeerProto.SettingsInForce;

/** A transport on a free loopback port that stores messages and answers explain requests. */
final class TestPeer implements AutoCloseable {

    static final Duration TIMEOUT = Duration.ofSeconds(20);

    private static final String LOOPBACK = "127.0.0.1";

    private final BlockingQueue<IncomingMessage> mReceived = new ArrayBlockingQueue<>(100);
    private final NettyPeerTransport mTransport;
    private final DaemonAddress mAddress;

    TestPeer(final String vm, final Optional<PeerTlsFiles> files) throws PeerException {
        this(vm, files, PeerSettings.defaults());
    }

    TestPeer(final String vm, final Optional<PeerTlsFiles> files, final PeerSettings settings)
            throws PeerException {
        final VmId id = new VmId(vm);
        mTransport =
                new NettyPeerTransport(
                        settings,
                        new PeerIdentity(id, new DaemonId(vm + "/1")),
                        files,
                        InstantSource.system(),
                        new SplittableRandom(1),
                        this::received);
        final InetSocketAddress bound = mTransport.listen(new InetSocketAddress(LOOPBACK, 0));
        mAddress = new DaemonAddress(id, LOOPBACK, bound.getPort());
    }

    private void received(final IncomingMessage message) {
        if (message.envelope().hasExplainRequest()) {
            final String subject = message.envelope().getExplainRequest().getSubject();
            message.reply(
                    Envelope.newBuilder()
                            .setExplainReply(ExplainReply.newBuilder().addRecords(subject))
                            .build());
        } else {
            mReceived.add(message);
        }
    }

    NettyPeerTransport transport() {
        return mTransport;
    }

    DaemonAddress address() {
        return mAddress;
    }

    PeerCounters counters() {
        return mTransport.counters();
    }

    void sendRevision(final TestPeer to, final long revision) {
        mTransport.send(
                to.address(),
                Envelope.newBuilder()
                        .setSettingsInForce(SettingsInForce.newBuilder().setRevision(revision))
                        .build());
    }

    /** Sends an explain request and returns the reply's only record. */
    String requestExplanation(final TestPeer to, final String subject, final Duration timeout)
            throws Exception {
        final Envelope request =
                Envelope.newBuilder()
                        .setExplainRequest(ExplainRequest.newBuilder().setSubject(subject))
                        .build();
        return mTransport
                .request(to.address(), request, timeout)
                .get(TIMEOUT.toSeconds(), TimeUnit.SECONDS)
                .getExplainReply()
                .getRecords(0);
    }

    IncomingMessage take() throws InterruptedException {
        return mReceived.poll(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }

    int pendingMessages() {
        return mReceived.size();
    }

    static void await(final BooleanSupplier condition) {
        final long end = System.nanoTime() + TIMEOUT.toNanos();
        while (!condition.getAsBoolean() && System.nanoTime() < end) {
            Thread.yield();
        }
        assertThat(condition.getAsBoolean()).isTrue();
    }

    @Override
    public void close() {
        mTransport.close();
    }
}
