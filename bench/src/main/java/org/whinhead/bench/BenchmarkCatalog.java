package org.whinhead.bench;

import java.util.Arrays;
import java.util.Optional;
import java.util.function.Supplier;
import org.whinhead.bench.goodput.GoodputBenchmark;
import org.whinhead.bench.routing.RoutingBenchmark;

/** Every benchmark that the command line knows. */
public enum BenchmarkCatalog {
    /** Routing strategies under the same traffic. */
    ROUTING(RoutingBenchmark::new),
    /** Admission under overload. */
    GOODPUT(GoodputBenchmark::new);

    private final Supplier<Benchmark> mMaker;

    BenchmarkCatalog(final Supplier<Benchmark> maker) {
        mMaker = maker;
    }

    /** Makes the benchmark. */
    public Benchmark make() {
        return mMaker.get();
    }

    /**
     * Finds a benchmark.
     *
     * @param name its name
     * @return the benchmark, or empty if there is none of that name
     */
    public static Optional<Benchmark> find(final String name) {
        return Arrays.stream(values())
                .map(BenchmarkCatalog::make)
                .filter(benchmark -> benchmark.name().equals(name))
                .findFirst();
    }
}
