package org.whinhead.bench;

import java.util.Arrays;
import java.util.Optional;
import java.util.function.Supplier;
import org.whinhead.bench.capacity.ClaimsCost;
import org.whinhead.bench.capacity.FleetCost;
import org.whinhead.bench.capacity.PeersCost;
import org.whinhead.bench.capacity.ReportCost;
import org.whinhead.bench.capacity.RequestsCost;
import org.whinhead.bench.capacity.RoutingCost;
import org.whinhead.bench.capacity.SettingsCost;
import org.whinhead.bench.capacity.WatchCost;
import org.whinhead.bench.days.CapacityDaysBenchmark;
import org.whinhead.bench.days.RolloutDaysBenchmark;
import org.whinhead.bench.goodput.GoodputBenchmark;
import org.whinhead.bench.log.LogBenchmark;
import org.whinhead.bench.overhead.OverheadBenchmark;
import org.whinhead.bench.peers.LeavingBenchmark;
import org.whinhead.bench.peers.TrafficBenchmark;
import org.whinhead.bench.retries.RetriesBenchmark;
import org.whinhead.bench.routing.RoutingBenchmark;
import org.whinhead.bench.waves.WavesBenchmark;

/** Every benchmark that the command line knows. */
public enum BenchmarkCatalog {
    /** Routing strategies under the same traffic. */
    ROUTING(RoutingBenchmark::new),
    /** Admission under overload. */
    GOODPUT(GoodputBenchmark::new),
    /** What a daemon adds to a request. */
    OVERHEAD(OverheadBenchmark::new),
    /** Reclaim waves over whole deployments. */
    WAVES(WavesBenchmark::new),
    /** Retries while engines fail. */
    RETRIES(RetriesBenchmark::new),
    /** Settings, claims and leases through whole daemons. */
    LOG(LogBenchmark::new),
    /** What the role costs by its size. */
    CAPACITY_REQUESTS(RequestsCost::new),
    /** What the role costs by its size. */
    CAPACITY_ROUTING(RoutingCost::new),
    /** What the role costs by its size. */
    CAPACITY_WATCH(WatchCost::new),
    /** What the role costs by its size. */
    CAPACITY_PEERS(PeersCost::new),
    /** What the role costs by its size. */
    CAPACITY_CLAIMS(ClaimsCost::new),
    /** What the role costs by its size. */
    CAPACITY_SETTINGS(SettingsCost::new),
    /** What the role costs by its size. */
    CAPACITY_FLEET(FleetCost::new),
    /** What the role costs by its size. */
    CAPACITY_REPORT(ReportCost::new),
    /** Policies of capacity over simulated days. */
    CAPACITY_DAYS(CapacityDaysBenchmark::new),
    ROLLOUT_DAYS(RolloutDaysBenchmark::new),
    /** How fast a notice reaches every daemon. */
    PEERS_LEAVING(LeavingBenchmark::new),
    /** What peers cost each other. */
    PEERS_TRAFFIC(TrafficBenchmark::new);

    private final Supplier<Benchmark> mFactory;

    BenchmarkCatalog(final Supplier<Benchmark> maker) {
        mFactory = maker;
    }

    /** Makes the benchmark. */
    public Benchmark create() {
        return mFactory.get();
    }

    /**
     * Finds a benchmark.
     *
     * @param name its name
     * @return the benchmark, or empty if there is none of that name
     */
    public static Optional<Benchmark> find(final String name) {
        return Arrays.stream(values())
                .map(BenchmarkCatalog::create)
                .filter(benchmark -> benchmark.name().equals(name))
                .findFirst();
    }
}
