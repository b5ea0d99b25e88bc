package org.whinhead.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.security.SecureRandom;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.whinhead.daemon.Daemon;
import org.whinhead.daemon.DaemonOptions;
import org.whinhead.daemon.WorkerPool;
import org.whinhead.requests.RecoveryMode;
import org.whinhead.requests.RequestSettings;
import org.whinhead.requests.TicketCodec;
import org.whinhead.requests.TicketKey;
import org.whinhead.settings.daemon.DaemonSettings;
import org.whinhead.settings.daemon.HostPort;
import org.whinhead.settings.daemon.ListenAddresses;
import org.whinhead.settings.daemon.PlatformUris;
import org.whinhead.settings.deployment.DocumentList;
import org.whinhead.standins.cloud.CloudActions;
import org.whinhead.standins.cloud.VmOrder;
import org.xnio.XnioWorker;

/** The entry VMs, each with one daemon. The daemon of a reclaimed VM is closed at once. */
final class EntryVms implements CloudActions, AutoCloseable {

    private static final String HOST = "127.0.0.1";
    private static final int IO_THREADS = 4;
    private static final int SECRET_BYTES = 32;
    private static final int PORTS_PER_DAEMON = 3;
    private static final Duration START_TIMEOUT = Duration.ofSeconds(20);
    private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private final Map<String, Daemon> mDaemons = new ConcurrentSkipListMap<>();
    private final OperatorClient mOperator = new OperatorClient();
    private final XnioWorker mWorker;
    private final DaemonOptions mOptions;

    /**
     * Creates the VMs without daemons.
     *
     * @param recovery the way daemons recover the work of failed and leaving engines
     * @throws IOException if the IO threads cannot be started
     */
    EntryVms(final RecoveryMode recovery) throws IOException {
        mWorker = WorkerPool.start("entry", IO_THREADS);
        final byte[] secret = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(secret);
        mOptions =
                DaemonOptions.on(mWorker)
                        .withTickets(new TicketCodec(List.of(new TicketKey("demo", secret))))
                        .withRequests(RequestSettings.builder().recovery(recovery).build());
    }

    /**
     * Starts a daemon on a VM.
     *
     * @param example the daemon's settings, whose addresses are replaced
     * @param platform the addresses of the platform's services
     * @return the address that callers connect to
     */
    URI start(final DaemonSettings example, final PlatformUris platform) throws IOException {
        final List<HostPort> free = freeAddresses();
        final URI uri = URI.create("http://" + free.get(0));
        final DaemonSettings settings =
                DaemonSettings.builder(example.name())
                        .vm(example.vm())
                        .domain(example.domain())
                        .listen(new ListenAddresses(free.get(0), free.get(1), free.get(2)))
                        .publicUri(uri)
                        .platform(platform)
                        .seeds(mDaemons.values().stream().map(Daemon::peerAddress).toList())
                        .limits(example.limits())
                        .gracefulStop(example.gracefulStop())
                        .operators(example.operators())
                        .build();
        mDaemons.put(example.vm().value(), Daemon.start(settings, mOptions));
        return uri;
    }

    /**
     * Puts documents through one daemon and waits until every daemon applies them and is ready.
     *
     * @param documents the documents, in an order in which they can be put
     * @throws IOException if a change is refused or a daemon is not ready within 20 s
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    void putSettings(final List<DocumentList.Entry> documents)
            throws IOException, InterruptedException {
        final List<URI> all = mDaemons.values().stream().map(Daemon::operatorUri).toList();
        await(all.get(0), mOperator::isFollowingLog);
        long last = 0;
        for (final DocumentList.Entry document : documents) {
            last = mOperator.putDocument(all.get(0), document);
        }
        final long revision = last;
        for (final URI daemon : all) {
            await(
                    daemon,
                    uri -> mOperator.settingsRevision(uri) >= revision && mOperator.isReady(uri));
        }
    }

    private static void await(final URI daemon, final DaemonCondition condition)
            throws IOException, InterruptedException {
        final long deadlineNanos = System.nanoTime() + START_TIMEOUT.toNanos();
        while (!condition.isMet(daemon)) {
            if (System.nanoTime() > deadlineNanos) {
                throw new IOException(daemon + " is not ready in time");
            }
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
        }
    }

    /** A condition of a daemon that is polled until it is met. */
    private interface DaemonCondition {
        boolean isMet(URI daemon) throws IOException, InterruptedException;
    }

    @Override
    public void onStarted(final String vm, final VmOrder order) {
        // The demo orders no replacement VMs, which would need settings of their own.
    }

    @Override
    public void onNotice(final String vm, final Instant goneBy) {
        // The daemon receives the notice from the cloud.
    }

    @Override
    public void onGone(final String vm) {
        final Daemon daemon = mDaemons.remove(vm);
        if (daemon != null) {
            daemon.close();
        }
    }

    @Override
    public void close() {
        mDaemons.values().forEach(Daemon::close);
        mWorker.shutdown();
    }

    /**
     * Returns addresses with free ports. The ports must be known before the daemon starts, as the
     * daemon publishes them to callers and peers.
     */
    private static List<HostPort> freeAddresses() throws IOException {
        final List<ServerSocket> sockets = new ArrayList<>();
        final List<HostPort> addresses = new ArrayList<>();
        for (int i = 0; i < PORTS_PER_DAEMON; i++) {
            final ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST));
            sockets.add(socket);
            addresses.add(new HostPort(HOST, socket.getLocalPort()));
        }
        for (final ServerSocket socket : sockets) {
            socket.close();
        }
        return addresses;
    }
}
