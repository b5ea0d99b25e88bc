package org.whinhead.bench.peers;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.net.http.HttpClient;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;
import org.whinhead.bench.BenchOptions;
import org.whinhead.bench.Benchmark;
import org.whinhead.bench.FigureTable;

/** Measures how long daemons send work to a VM after one daemon received its reclaim notice. */
public final class LeavingBenchmark implements Benchmark {

    private static final int DAEMONS = 8;
    private static final int LIVE_ENDPOINTS = 4;
    private static final int ROUNDS = 50;
    private static final long WARM_UP_NANOS = TimeUnit.SECONDS.toNanos(10);
    private static final long ROUND_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final long QUIET_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long MAX_WAIT_NANOS = TimeUnit.SECONDS.toNanos(20);
    private static final double NANOS_IN_MILLI = 1e6;

    @Override
    public String name() {
        return "peers-leaving";
    }

    @Override
    public String description() {
        return "time until no work reaches a VM whose notice one of 8 daemons heard";
    }

    @Override
    public void run(final BenchOptions options, final PrintStream out) {
        try (RecordingEndpoints endpoints =
                        new RecordingEndpoints(LIVE_ENDPOINTS + ROUNDS, DAEMONS);
                LeavingFleet fleet = new LeavingFleet(endpoints)) {
            for (int endpoint = 0; endpoint < LIVE_ENDPOINTS; endpoint++) {
                fleet.addEndpoint(endpoint);
            }
            for (int daemon = 0; daemon < DAEMONS; daemon++) {
                fleet.startDaemon();
            }
            measure(endpoints, fleet, options, out);
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void measure(
            final RecordingEndpoints endpoints,
            final LeavingFleet fleet,
            final BenchOptions options,
            final PrintStream out) {
        final LongAdder answered = new LongAdder();
        final HttpClient client = HttpClient.newHttpClient();
        final List<CallerLoop> callers = new ArrayList<>();
        for (int daemon = 0; daemon < DAEMONS; daemon++) {
            callers.add(new CallerLoop(client, fleet.callerUri(daemon), daemon, answered));
        }
        waitUntil(System.nanoTime() + WARM_UP_NANOS);
        final long before = answered.sum();
        final long start = System.nanoTime();
        final Rounds rounds = new Rounds();
        for (int round = 0; round < ROUNDS; round++) {
            rounds.add(endpoints, fleet, round);
        }
        final double seconds = (System.nanoTime() - start) / (NANOS_IN_MILLI * 1000);
        callers.forEach(CallerLoop::close);
        rounds.print(options, out);
        final FigureTable load = new FigureTable("load", "requests/s", "unserved rounds");
        load.add("all daemons", (answered.sum() - before) / seconds, rounds.mUnserved);
        load.print(options, out);
    }

    private static void waitUntil(final long nanos) {
        while (System.nanoTime() < nanos) {
            LockSupport.parkNanos(nanos - System.nanoTime());
        }
    }

    /** Delays from a notice to the last work that the VM received. */
    private static final class Rounds {
        private final Histogram mNotified = new Histogram(3);
        private final Histogram mOthers = new Histogram(3);
        private final Histogram mAll = new Histogram(3);
        private int mUnserved;

        /** Adds a new endpoint, announces the reclaim of the oldest one and records the delays. */
        private void add(
                final RecordingEndpoints endpoints, final LeavingFleet fleet, final int round) {
            fleet.addEndpoint(LIVE_ENDPOINTS + round);
            waitUntil(System.nanoTime() + ROUND_NANOS);
            for (int daemon = 0; daemon < DAEMONS; daemon++) {
                if (endpoints.last(round, daemon) == 0) {
                    mUnserved++;
                    return;
                }
            }
            final long start = System.nanoTime();
            fleet.announceReclaim(round);
            waitUntilQuiet(endpoints, round, start);
            final long notified = endpoints.last(round, 0) - start;
            long others = 0;
            for (int daemon = 1; daemon < DAEMONS; daemon++) {
                others = Math.max(others, endpoints.last(round, daemon) - start);
            }
            mNotified.recordValue(Math.max(0, notified));
            mOthers.recordValue(others);
            mAll.recordValue(Math.max(others, Math.max(0, notified)));
        }

        private static void waitUntilQuiet(
                final RecordingEndpoints endpoints, final int endpoint, final long start) {
            long last = start;
            do {
                waitUntil(last + QUIET_NANOS);
                for (int daemon = 0; daemon < DAEMONS; daemon++) {
                    last = Math.max(last, endpoints.last(endpoint, daemon));
                }
            } while (System.nanoTime() < last + QUIET_NANOS
                    && System.nanoTime() < start + MAX_WAIT_NANOS);
        }

        private void print(final BenchOptions options, final PrintStream out) {
            final FigureTable figures =
                    new FigureTable(
                            "last work after notice", "notices", "p50-ms", "p99-ms", "max-ms");
            add(figures, "daemon that hears it", mNotified);
            add(figures, "the seven others", mOthers);
            add(figures, "all", mAll);
            figures.print(options, out);
        }

        private static void add(
                final FigureTable figures, final String label, final Histogram nanos) {
            figures.add(
                    label,
                    nanos.getTotalCount(),
                    nanos.getValueAtPercentile(50) / NANOS_IN_MILLI,
                    nanos.getValueAtPercentile(99) / NANOS_IN_MILLI,
                    nanos.getMaxValue() / NANOS_IN_MILLI);
        }
    }
}
