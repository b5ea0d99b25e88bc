package org.whinhead.bench.peers;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Stream;
import org.whinhead.bench.BenchOptions;
import org.whinhead.bench.Benchmark;
import org.whinhead.bench.FigureTable;
import org.whinhead.daemon.WorkerPool;
import org.whinhead.peer.PeerException;
import org.xnio.XnioWorker;

/** Measures a daemon's peer traffic and CPU time per second over TLS, by number of daemons. */
public final class TrafficBenchmark implements Benchmark {

    private static final int[] SIZES = {8, 16, 24};
    private static final int WARM_UP_PERIODS = 60;
    private static final int PERIODS = 40;
    private static final long PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Frame length, TLS record, TCP and IP headers, and half an acknowledgment. */
    private static final int BYTES_AROUND_MESSAGE = 4 + 22 + 40 + 20;

    private static final double PERCENT = 100;

    private final OperatingSystemMXBean mSystem =
            ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);

    @Override
    public String name() {
        return "peers-traffic";
    }

    @Override
    public String description() {
        return "bytes and CPU a second and daemon between peers, over sockets with TLS";
    }

    @Override
    public void run(final BenchOptions options, final PrintStream out) {
        final FigureTable figures =
                new FigureTable(
                        "daemons",
                        "least live",
                        "messages/s",
                        "protobuf-B/s",
                        "wire-B/s",
                        "cpu-%-core",
                        "dropped");
        try {
            final Path folder = Files.createTempDirectory("whinhead-bench");
            final XnioWorker worker = WorkerPool.start("bench", 2);
            try {
                measure(folder, worker, figures);
            } finally {
                worker.shutdown();
                delete(folder);
            }
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        } catch (final PeerException e) {
            throw new IllegalStateException(e);
        }
        figures.print(options, out);
    }

    private void measure(final Path folder, final XnioWorker worker, final FigureTable figures)
            throws IOException, PeerException {
        final TrafficCertificateAuthority authority = new TrafficCertificateAuthority(folder);
        final double[][] rows = new double[SIZES.length][];
        for (int i = 0; i < SIZES.length; i++) {
            try (TrafficFleet fleet = new TrafficFleet(SIZES[i], authority, worker)) {
                rows[i] = row(fleet, SIZES[i]);
            }
            figures.add(String.valueOf(SIZES[i]), rows[i]);
        }
        final double[] first = rows[0];
        final double[] last = rows[SIZES.length - 1];
        final double addedDaemons = SIZES[SIZES.length - 1] - SIZES[0];
        final double[] slope = new double[first.length];
        for (int i = 0; i < slope.length; i++) {
            slope[i] = (last[i] - first[i]) / addedDaemons;
        }
        figures.add("each further daemon", slope);
    }

    private double[] row(final TrafficFleet fleet, final int daemons) {
        feed(fleet, WARM_UP_PERIODS);
        final long messages = fleet.messagesSent();
        final long bytes = fleet.bytesSent();
        final long dropped = fleet.dropped();
        final long cpu = mSystem.getProcessCpuTime();
        final long start = System.nanoTime();
        feed(fleet, PERIODS);
        final long nanos = System.nanoTime() - start;
        final double daemonSeconds = daemons * (nanos / (double) TimeUnit.SECONDS.toNanos(1));
        final double sent = (fleet.messagesSent() - messages) / daemonSeconds;
        final double protobuf = (fleet.bytesSent() - bytes) / daemonSeconds;
        return new double[] {
            fleet.leastLive(),
            sent,
            protobuf,
            2 * (protobuf + sent * BYTES_AROUND_MESSAGE),
            PERCENT * (mSystem.getProcessCpuTime() - cpu) / nanos / daemons,
            fleet.dropped() - dropped
        };
    }

    private static void feed(final TrafficFleet fleet, final int periods) {
        for (int period = 0; period < periods; period++) {
            final long next = System.nanoTime() + PERIOD_NANOS;
            fleet.feed();
            while (System.nanoTime() < next) {
                LockSupport.parkNanos(next - System.nanoTime());
            }
        }
    }

    private static void delete(final Path folder) throws IOException {
        final List<Path> files;
        try (Stream<Path> walk = Files.walk(folder)) {
            files = walk.sorted(Comparator.reverseOrder()).toList();
        }
        for (final Path file : files) {
            Files.delete(file);
        }
    }
}
