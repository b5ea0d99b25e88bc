package org.whinhead.bench.capacity;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.peer.generated.PeerProto;
import org.whinhead.routing.DaemonLocation;
import org.whinhead.routing.WatchPlan;

/** Measures the watch plan of a daemon: its endpoints and peers, and the size of load digests. */
public final class WatchCost extends RoleCost {

    private static final int[] DAEMON_COUNTS = {9, 32, 36, 55, 110, 165, 330};
    private static final int ENDPOINTS_AT_FULL_SIZE = 1_800;
    private static final int DAEMONS_AT_FULL_SIZE = 330;
    private static final int[] REPORT_COUNTS = {1, 14, 40, 256};

    @Override
    public String name() {
        return "capacity-watch";
    }

    @Override
    public String description() {
        return "who polls whom, and the bytes of load digests";
    }

    @Override
    void measure(final Meter meter, final long seed, final SeriesPrinter out) {
        final Series plan = new Series("watch plan made", "daemons", "ns a plan");
        final Series watched = new Series("endpoints watched", "daemons", "endpoints");
        final Series meanPolled = new Series("endpoints polled, mean", "daemons", "endpoints");
        final Series maxPolled = new Series("endpoints polled, most", "daemons", "endpoints");
        final Series peers = new Series("peers told", "daemons", "peers");
        for (final int size : DAEMON_COUNTS) {
            final List<DaemonLocation> daemons = daemons(size);
            final List<Endpoint> endpoints =
                    Fixtures.endpoints(size * ENDPOINTS_AT_FULL_SIZE / DAEMONS_AT_FULL_SIZE);
            plan.add(size, meter.measureCpuNanos(() -> plan(daemons.get(0), daemons, endpoints)));
            int sum = 0;
            int max = 0;
            for (final DaemonLocation daemon : daemons) {
                final WatchPlan daemonPlan =
                        WatchPlan.of(daemon, daemons, endpoints, WatchPlan.Limits.DEFAULT);
                sum += daemonPlan.polled().size();
                max = Math.max(max, daemonPlan.polled().size());
            }
            final WatchPlan first =
                    WatchPlan.of(daemons.get(0), daemons, endpoints, WatchPlan.Limits.DEFAULT);
            watched.add(size, Spread.exact(first.watched().size()));
            peers.add(size, Spread.exact(first.peers().size()));
            meanPolled.add(size, Spread.exact((double) sum / size));
            maxPolled.add(size, Spread.exact(max));
        }
        out.print(plan, watched, meanPolled, maxPolled, peers);
        measureDigests(meter, out);
    }

    private static void measureDigests(final Meter meter, final SeriesPrinter out) {
        final Series bytes = new Series("load digest", "reports", "bytes a message");
        final Series nanos = new Series("load digest written and read", "reports", "ns a message");
        for (final int size : REPORT_COUNTS) {
            final List<Endpoint> endpoints = Fixtures.endpoints(size);
            bytes.add(size, Spread.exact(digest(endpoints).length));
            nanos.add(size, meter.measureCpuNanos(() -> writeAndRead(endpoints)));
        }
        out.print(bytes);
        out.print(nanos);
    }

    private static long plan(
            final DaemonLocation own,
            final List<DaemonLocation> daemons,
            final List<Endpoint> all) {
        return WatchPlan.of(own, daemons, all, WatchPlan.Limits.DEFAULT).watched().isEmpty()
                ? 0
                : 1;
    }

    private static long writeAndRead(final List<Endpoint> endpoints) {
        try {
            return PeerProto.Envelope.parseFrom(digest(endpoints)).getSequence();
        } catch (final IOException e) {
            throw new IllegalStateException("cannot parse a message that was just encoded", e);
        }
    }

    private static byte[] digest(final List<Endpoint> endpoints) {
        final PeerProto.LoadDigest.Builder digest = PeerProto.LoadDigest.newBuilder();
        for (final Endpoint endpoint : endpoints) {
            final EndpointId id = endpoint.id();
            digest.addReports(
                    PeerProto.EndpointLoad.newBuilder()
                            .setEndpoint(id.value())
                            .setAsOfMillis(Fixtures.START.toEpochMilli())
                            .setRunning(12)
                            .setWaiting(1)
                            .setTokensPerSecond(1_000));
        }
        return PeerProto.Envelope.newBuilder()
                .setSequence(1)
                .setLoadDigest(digest)
                .build()
                .toByteArray();
    }

    private static List<DaemonLocation> daemons(final int count) {
        final List<DaemonLocation> daemons = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            daemons.add(new DaemonLocation(new DaemonId("entry-" + i), Fixtures.domain(i)));
        }
        return daemons;
    }
}
