package org.whinhead.demo;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.whinhead.settings.daemon.TlsFiles;

@Timeout(120)
class PeerDeploymentTest {

    private static final int DAEMONS = 3;
    private static final int MANY_CALLS = 30;
    private static final Duration NOTICE = Duration.ofMinutes(10);

    @TempDir private Path mFolder;
    private PeerDeployment mDeployment;

    @BeforeEach
    void start() throws Exception {
        mDeployment = new PeerDeployment();
    }

    @AfterEach
    void stop() {
        mDeployment.close();
    }

    private boolean avoids(final int daemon, final int endpoint) throws Exception {
        for (int i = 0; i < MANY_CALLS; i++) {
            if (mDeployment.callService(daemon) == endpoint) {
                return false;
            }
        }
        return true;
    }

    /**
     * Guards against calls to a VM that is being reclaimed. Only one of three daemons receives the
     * notice, and the VM list is stale and has the VM as live: the other two daemons send it work
     * unless the first one shares the notice.
     */
    @Test
    void noticeReceivedByOneDaemonExcludesVmOnAll() throws Exception {
        mDeployment.startDaemons(DAEMONS);
        for (int daemon = 0; daemon < DAEMONS; daemon++) {
            final int current = daemon;
            PeerDeployment.await(
                    "endpoint 0 gets work", () -> mDeployment.callService(current) == 0);
        }
        mDeployment.vms().freeze(true);
        mDeployment.cloud().reclaim(PeerDeployment.endpointVm(0), NOTICE);
        for (int daemon = 0; daemon < DAEMONS; daemon++) {
            final int current = daemon;
            PeerDeployment.await("daemon " + daemon + " avoids the VM", () -> avoids(current, 0));
        }
        for (int daemon = 0; daemon < DAEMONS; daemon++) {
            assertThat(avoids(daemon, 0)).as("daemon " + daemon).isTrue();
        }
    }

    /**
     * Guards against listing a daemon whose VM is being reclaimed. Only another daemon receives the
     * notice, and the stale VM list has the VM as live: no daemon may list the address any more,
     * and the daemon on that VM must stop gracefully.
     */
    @Test
    void leavingDaemonIsNotListedForCallers() throws Exception {
        mDeployment.startDaemons(DAEMONS);
        mDeployment.vms().freeze(true);
        mDeployment.cloud().reclaim(PeerDeployment.daemonVm(1), NOTICE);
        final List<URI> others = List.of(PeerDeployment.publicUri(0), PeerDeployment.publicUri(2));
        for (int daemon = 0; daemon < DAEMONS; daemon++) {
            mDeployment.awaitAddresses(daemon, others.size());
        }
        for (int i = 0; i < MANY_CALLS; i++) {
            assertThat(mDeployment.addresses(i % DAEMONS))
                    .containsExactlyInAnyOrderElementsOf(others);
        }
        assertThat(mDeployment.isReady(1)).isFalse();
    }

    /**
     * Guards against listing the address of a stopped daemon: the daemon announces to its peers
     * that it leaves, so that they do not send callers to a closed port.
     */
    @Test
    void stoppedDaemonIsRemovedFromAddressesOfOthers() throws Exception {
        mDeployment.startDaemons(DAEMONS);
        mDeployment.daemon(2).stop();
        for (int daemon = 0; daemon < 2; daemon++) {
            mDeployment.awaitAddresses(daemon, 2);
            assertThat(mDeployment.addresses(daemon)).doesNotContain(PeerDeployment.publicUri(2));
        }
        assertThat(mDeployment.metrics(0)).contains("whinhead_peers_leaving_daemons 1.0");
    }

    /**
     * Guards against listing the address of a failed daemon: it did not announce that it leaves,
     * and the VM list is stale, so the other daemons must remove it by failure detection alone.
     */
    @Test
    void killedDaemonIsRemovedAfterSuspicion() throws Exception {
        mDeployment.startDaemons(DAEMONS);
        mDeployment.vms().freeze(true);
        mDeployment.daemon(2).close();
        for (int daemon = 0; daemon < 2; daemon++) {
            mDeployment.awaitAddresses(daemon, 2);
            assertThat(mDeployment.addresses(daemon)).doesNotContain(PeerDeployment.publicUri(2));
            assertThat(mDeployment.metrics(daemon)).contains("whinhead_peers_suspect_daemons 1.0");
        }
    }

    /**
     * Guards against reporting a change as in force on a daemon that did not confirm it. No log
     * answers here, so each daemon is at the log's beginning; a daemon that was killed just now is
     * still listed and must be reported as missing.
     */
    @Test
    void revisionInForceIsQueriedFromAllDaemons() throws Exception {
        mDeployment.startDaemons(DAEMONS);
        assertThat(mDeployment.daemonsByRevision(0, -1, "inForce"))
                .containsExactlyInAnyOrder("daemon-0", "vm-entry-1", "vm-entry-2");
        assertThat(mDeployment.daemonsByRevision(0, 0, "missing"))
                .containsExactlyInAnyOrder("daemon-0", "vm-entry-1", "vm-entry-2");
        mDeployment.daemon(2).close();
        assertThat(mDeployment.daemonsByRevision(0, -1, "inForce"))
                .containsExactlyInAnyOrder("daemon-0", "vm-entry-1");
        assertThat(mDeployment.daemonsByRevision(0, -1, "missing")).containsExactly("vm-entry-2");
    }

    /**
     * Guards against a process of another deployment that connects with a certificate of another
     * authority. It must not join, or callers would be sent to it, and a metric must count the try.
     */
    @Test
    void daemonOfOtherAuthorityIsRefusedAndCounted() throws Exception {
        final X509Bundle authority = authority("ours");
        mDeployment.startDaemon(Optional.of(files(authority, PeerDeployment.daemonVm(0))));
        mDeployment.startDaemon(Optional.of(files(authority, PeerDeployment.daemonVm(1))));
        mDeployment.startDaemon(Optional.of(files(authority("other"), "vm-entry-2")));
        mDeployment.awaitAddresses(0, 2);
        mDeployment.awaitAddresses(1, 2);
        PeerDeployment.await(
                "the refused connection is counted",
                () -> !mDeployment.metrics(0).contains("whinhead_peers_refused_connections 0.0"));
        assertThat(mDeployment.addresses(1))
                .containsExactlyInAnyOrder(
                        PeerDeployment.publicUri(0), PeerDeployment.publicUri(1));
        assertThat(mDeployment.addresses(2)).containsExactly(PeerDeployment.publicUri(2));
    }

    private static X509Bundle authority(final String name) throws Exception {
        return builder(name).setIsCertificateAuthority(true).buildSelfSigned();
    }

    private static CertificateBuilder builder(final String name) {
        return new CertificateBuilder()
                .algorithm(CertificateBuilder.Algorithm.ecp256)
                .subject("CN=" + name);
    }

    private TlsFiles files(final X509Bundle authority, final String vm) throws Exception {
        final X509Bundle own = builder(vm).buildIssuedBy(authority);
        return new TlsFiles(
                Files.writeString(mFolder.resolve(vm + ".crt"), own.getCertificatePathPEM()),
                Files.writeString(mFolder.resolve(vm + ".key"), own.getPrivateKeyPEM()),
                Files.writeString(mFolder.resolve(vm + ".trust"), authority.getCertificatePEM()));
    }
}
