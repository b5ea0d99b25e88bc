package org.whinhead.peer;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.whinhead.api.model.VmId;
import org.whinhead.peer.generated.PeerProto.Envelope;

class NettyPeerTransportTest {

    private static final Duration SHORT = Duration.ofMillis(300);

    @TempDir private Path mFolder;

    @Test
    void messagesAndRepliesShareOneConnection() throws Exception {
        final TestAuthority authority = new TestAuthority();
        try (TestPeer a = new TestPeer("vm-a", Optional.of(authority.issue(mFolder, "vm-a")));
                TestPeer b = new TestPeer("vm-b", Optional.of(authority.issue(mFolder, "vm-b")))) {
            a.sendRevision(b, 7);
            final IncomingMessage message = b.take();
            assertThat(message.from()).isEqualTo(new VmId("vm-a"));
            assertThat(message.envelope().getSettingsInForce().getRevision()).isEqualTo(7);
            assertThat(a.requestExplanation(b, "why", TestPeer.TIMEOUT)).isEqualTo("why");
            assertThat(b.requestExplanation(a, "back", TestPeer.TIMEOUT)).isEqualTo("back");
            assertThat(a.counters().connects() + b.counters().connects()).isEqualTo(1);
        }
    }

    // Guards against a daemon with certificates of an unknown authority: its messages must not be
    // accepted, and no message may be sent to it.
    @Test
    void certificateOfUnknownAuthorityIsRefused() throws Exception {
        final TestAuthority other = new TestAuthority();
        assertHandshakeRefused(other.issue(mFolder, "vm-a"));
    }

    // Guards against a new daemon that cannot join because it knows only a seed's address, not its
    // VM. Both sides must identify themselves, and the seed must use the same connection.
    @Test
    void firstMessageReachesSeedOfUnknownVm() throws Exception {
        final TestAuthority authority = new TestAuthority();
        try (TestPeer a = new TestPeer("vm-a", Optional.of(authority.issue(mFolder, "vm-a")));
                TestPeer b = new TestPeer("vm-b", Optional.of(authority.issue(mFolder, "vm-b")))) {
            final InetSocketAddress seed =
                    new InetSocketAddress(b.address().host(), b.address().port());
            a.transport().connectToSeed(seed, Envelope.getDefaultInstance());
            assertThat(b.take().from()).isEqualTo(a.address().vm());
            b.sendRevision(a, 7);
            assertThat(a.take().from()).isEqualTo(b.address().vm());
            assertThat(b.counters().connects()).isZero();
        }
    }

    // Guards against a daemon that is still accepted after its certificate has expired.
    @Test
    void expiredCertificateIsRefused() throws Exception {
        final TestAuthority authority = new TestAuthority();
        final PeerTlsFiles own = authority.issue(mFolder, "vm-b");
        assertHandshakeRefused(authority.issueExpired(mFolder, "vm-a"), own);
    }

    private void assertHandshakeRefused(final PeerTlsFiles peerFiles) throws Exception {
        assertHandshakeRefused(peerFiles, new TestAuthority().issue(mFolder, "vm-b"));
    }

    private static void assertHandshakeRefused(final PeerTlsFiles peerFiles, final PeerTlsFiles own)
            throws Exception {
        try (TestPeer bad = new TestPeer("vm-a", Optional.of(peerFiles));
                TestPeer good = new TestPeer("vm-b", Optional.of(own))) {
            bad.sendRevision(good, 7);
            TestPeer.await(() -> good.counters().refusals(PeerRefusal.HANDSHAKE) > 0);
            assertThat(good.pendingMessages()).isZero();
            good.sendRevision(bad, 7);
            TestPeer.await(() -> good.counters().refusals(PeerRefusal.HANDSHAKE) > 1);
            assertThat(bad.pendingMessages()).isZero();
        }
    }

    // Guards against a daemon with a valid certificate that claims to be another VM, to announce
    // the other's end or reply in its name.
    @Test
    void senderMustMatchCertificate() throws Exception {
        final TestAuthority authority = new TestAuthority();
        try (TestPeer impostor =
                        new TestPeer("vm-c", Optional.of(authority.issue(mFolder, "vm-a")));
                TestPeer b = new TestPeer("vm-b", Optional.of(authority.issue(mFolder, "vm-b")))) {
            impostor.sendRevision(b, 7);
            TestPeer.await(() -> b.counters().refusals(PeerRefusal.IDENTITY) > 0);
            b.sendRevision(impostor, 7);
            TestPeer.await(() -> b.counters().refusals(PeerRefusal.IDENTITY) > 1);
            assertThat(b.pendingMessages() + impostor.pendingMessages()).isZero();
        }
    }

    // Guards against memory and connections held by a port scanner that sends HTTP or malformed
    // frames, with TLS and without: the connection must be closed at once, and the length field of
    // a frame must not allocate memory.
    @Test
    void malformedInputClosesConnection() throws Exception {
        final byte[] http = "GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
        final TestAuthority authority = new TestAuthority();
        try (TestPeer secure = new TestPeer("vm-a", Optional.of(authority.issue(mFolder, "vm-a")));
                TestPeer plain = new TestPeer("vm-b", Optional.empty())) {
            assertCloses(secure, http);
            assertThat(secure.counters().refusals(PeerRefusal.HANDSHAKE)).isEqualTo(1);
            assertCloses(plain, http);
            assertThat(plain.counters().refusals(PeerRefusal.OVERSIZED)).isEqualTo(1);
            assertCloses(plain, new byte[] {0, 0, 0, 2, -1, -1});
            assertThat(plain.counters().refusals(PeerRefusal.MALFORMED)).isEqualTo(1);
            assertCloses(plain, new byte[] {0, 0, 0, 0});
            assertThat(plain.counters().refusals(PeerRefusal.IDENTITY)).isEqualTo(1);
        }
    }

    private static void assertCloses(final TestPeer peer, final byte[] bytes) throws IOException {
        try (Socket socket = socketTo(peer)) {
            new DataOutputStream(socket.getOutputStream()).write(bytes);
            assertClosed(socket);
        }
    }

    private static Socket socketTo(final TestPeer peer) throws IOException {
        final Socket socket = new Socket(peer.address().host(), peer.address().port());
        socket.setSoTimeout((int) TestPeer.TIMEOUT.toMillis());
        return socket;
    }

    /** Reads to the end of the stream; a TLS alert may precede it. */
    private static void assertClosed(final Socket socket) throws IOException {
        try {
            socket.getInputStream().readAllBytes();
        } catch (final java.net.SocketException e) {
            assertThat(e).hasMessageContaining("reset");
        }
    }

    // Guards against clients that open connections and send nothing: the number of such connections
    // and the time of each must be limited.
    @Test
    void silentConnectionsAreBounded() throws Exception {
        final PeerSettings settings =
                PeerSettings.builder().mostUnauthenticated(2).handshakeTimeout(SHORT).build();
        try (TestPeer peer = new TestPeer("vm-a", Optional.empty(), settings);
                Socket first = socketTo(peer);
                Socket second = socketTo(peer);
                Socket third = socketTo(peer)) {
            assertClosed(third);
            assertClosed(first);
            assertClosed(second);
            final PeerCounters counters = peer.counters();
            final long refused =
                    counters.refusals(PeerRefusal.TOO_MANY) + counters.refusals(PeerRefusal.SILENT);
            assertThat(refused).isEqualTo(3);
            assertThat(counters.refusals(PeerRefusal.TOO_MANY)).isPositive();
        }
    }

    // Guards against restarts or failing connections when operators replace the authority while
    // daemons run: half-replaced files must change nothing, complete ones must serve new
    // connections.
    @Test
    void replacedTlsFilesAreReloadedWithoutRestart() throws Exception {
        final PeerTlsFiles own = new TestAuthority().issue(mFolder, "vm-a");
        final TestAuthority next = new TestAuthority();
        final Path folder = Files.createDirectory(mFolder.resolve("next"));
        final PeerTlsFiles replacement = next.issue(folder, "vm-a");
        try (TestPeer a = new TestPeer("vm-a", Optional.of(own));
                TestPeer b = new TestPeer("vm-b", Optional.of(next.issue(folder, "vm-b")))) {
            replace(replacement.certificate(), own.certificate());
            a.transport().tick();
            assertThat(a.counters().reloadFailures()).isEqualTo(1);
            replace(replacement.key(), own.key());
            replace(replacement.trust(), own.trust());
            a.transport().tick();
            assertThat(a.counters().reloads()).isEqualTo(1);
            assertThat(b.requestExplanation(a, "new", TestPeer.TIMEOUT)).isEqualTo("new");
        }
    }

    private static void replace(final Path from, final Path to) throws IOException {
        Files.copy(from, to, StandardCopyOption.REPLACE_EXISTING);
    }

    // Guards against a daemon without certificates on an address that is not loopback, where any
    // client could act as a peer.
    @Test
    void listeningBeyondLoopbackRequiresTls() throws Exception {
        try (TestPeer peer = new TestPeer("vm-a", Optional.empty())) {
            assertThatThrownBy(() -> peer.transport().listen(new InetSocketAddress("0.0.0.0", 0)))
                    .isInstanceOf(PeerException.class)
                    .hasMessage("peers need TLS on an address that is not loopback");
        }
    }

    // Guards against a requester that waits forever for a stopped daemon: the request must fail,
    // and a request to its restarted daemon must succeed.
    @Test
    void requestToAbsentPeerFailsAndLaterReconnects() throws Exception {
        try (TestPeer a = new TestPeer("vm-a", Optional.empty());
                TestPeer gone = new TestPeer("vm-b", Optional.empty())) {
            gone.close();
            assertThatThrownBy(() -> a.requestExplanation(gone, "why", SHORT))
                    .isInstanceOf(ExecutionException.class)
                    .hasCauseInstanceOf(PeerException.class);
            try (TestPeer back = new TestPeer("vm-b", Optional.empty())) {
                assertThat(a.requestExplanation(back, "why", TestPeer.TIMEOUT)).isEqualTo("why");
            }
        }
    }
}
