package org.whinhead.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
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
import org.whinhead.requests.TicketCodec;
import org.whinhead.requests.TicketKey;
import org.whinhead.settings.daemon.DaemonSettings;
import org.whinhead.settings.daemon.HostPort;
import org.whinhead.settings.daemon.ListenAddresses;
import org.whinhead.settings.daemon.PlatformUris;
import org.whinhead.settings.deployment.DeploymentSettings;
import org.whinhead.standins.cloud.CloudActions;
import org.whinhead.standins.cloud.VmOrder;
import org.xnio.XnioWorker;

/** The entry VMs, each with a daemon; a reclaimed one ends without a word. */
final class EntryVms implements CloudActions, AutoCloseable {

    private static final String HOST = "127.0.0.1";
    private static final int IO_THREADS = 4;
    private static final int SECRET_BYTES = 32;
    private static final int PORTS = 3;
    private static final int OK = 200;
    private static final Duration START_BOUND = Duration.ofSeconds(20);
    private static final long LOOK_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private final Map<String, Daemon> mDaemons = new ConcurrentSkipListMap<>();
    private final HttpClient mClient = HttpClient.newHttpClient();
    private final XnioWorker mWorker;
    private final DaemonOptions mOptions;

    EntryVms() throws IOException {
        mWorker = WorkerPool.start("entry", IO_THREADS);
        final byte[] secret = new byte[SECRET_BYTES];
        new SecureRandom().nextBytes(secret);
        mOptions =
                DaemonOptions.on(mWorker)
                        .withTickets(new TicketCodec(List.of(new TicketKey("demo", secret))));
    }

    /**
     * Starts a daemon on a VM.
     *
     * @param example its settings but for the addresses
     * @param platform where the platform's services are
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

    /** Puts settings in force on every daemon. */
    void settingsChanged(final DeploymentSettings settings) {
        mDaemons.values().forEach(daemon -> daemon.settingsChanged(settings, 0));
    }

    /** Waits until every daemon can serve. */
    void awaitReady() throws InterruptedException {
        final long end = System.nanoTime() + START_BOUND.toNanos();
        for (final Daemon daemon : mDaemons.values()) {
            while (!isReady(daemon)) {
                if (System.nanoTime() > end) {
                    throw new IllegalStateException(daemon.id() + " is not ready in time");
                }
                LockSupport.parkNanos(LOOK_NANOS);
            }
        }
    }

    private boolean isReady(final Daemon daemon) throws InterruptedException {
        final HttpRequest question =
                HttpRequest.newBuilder(daemon.operatorUri().resolve("/health/ready")).build();
        try {
            return mClient.send(question, BodyHandlers.discarding()).statusCode() == OK;
        } catch (final IOException e) {
            return false;
        }
    }

    @Override
    public void onStarted(final String vm, final VmOrder order) {
        // Replacements would start with settings of their own; the demo orders none.
    }

    @Override
    public void onNotice(final String vm, final Instant goneBy) {
        // The daemon learns it from the cloud.
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
     * Finds ports that nobody listens on. They have to be known before the daemon starts, as it
     * tells them to callers and peers.
     */
    private static List<HostPort> freeAddresses() throws IOException {
        final List<ServerSocket> sockets = new ArrayList<>();
        final List<HostPort> addresses = new ArrayList<>();
        for (int i = 0; i < PORTS; i++) {
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
