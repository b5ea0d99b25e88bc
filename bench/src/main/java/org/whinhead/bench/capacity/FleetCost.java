package org.whinhead.bench.capacity;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.whinhead.api.model.Billing;
import org.whinhead.api.model.Endpoint;
import org.whinhead.fleet.FleetReconciler;
import org.whinhead.fleet.FleetSettings;
import org.whinhead.fleet.FleetView;
import org.whinhead.fleet.Pool;
import org.whinhead.fleet.PoolMember;
import org.whinhead.fleet.PoolName;
import org.whinhead.fleet.Supply;

/** Measures one reconcile round of the fleet lease holder. */
public final class FleetCost extends RoleCost {

    private static final int[] MEMBER_COUNTS = {60, 300, 900, 1800};
    private static final int POOLS = 12;
    private static final long MODEL_BYTES = 16_000_000_000L;
    private static final FleetSettings SETTINGS =
            new FleetSettings(Duration.ofSeconds(30), 500_000_000, 8, 16);

    @Override
    public String name() {
        return "capacity-fleet";
    }

    @Override
    public String description() {
        return "CPU of a reconcile round by members";
    }

    @Override
    void measure(final Meter meter, final long seed, final SeriesPrinter out) {
        out.print(rounds("round, one pool", 1, 1, meter));
        out.print(rounds("round, twelve pools", POOLS, 1, meter));
        out.print(rounds("round, one pool, a tenth too many", 1, 0.9, meter));
        final Series memory = new Series("view's memory, twelve pools", "members", "bytes");
        for (final int size : MEMBER_COUNTS) {
            memory.add(size, meter.measureRetainedBytes(() -> view(size, POOLS, 1)));
        }
        out.print(memory);
    }

    private static Series rounds(
            final String name, final int pools, final double wantedShare, final Meter meter) {
        final Series series = new Series(name, "members", "ns a round");
        for (final int size : MEMBER_COUNTS) {
            final FleetView view = view(size, pools, wantedShare);
            final FleetReconciler reconciler = new FleetReconciler(SETTINGS);
            series.add(size, meter.measureCpuNanos(() -> round(reconciler, view)));
        }
        return series;
    }

    private static long round(final FleetReconciler reconciler, final FleetView view) {
        return reconciler.reconcile(view, Instant.EPOCH).size() >= 0 ? 1 : 0;
    }

    private static FleetView view(final int size, final int pools, final double wantedShare) {
        final List<Pool> wantedPools = new ArrayList<>();
        for (int i = 0; i < pools; i++) {
            final int inPool = size / pools;
            final int surviving = inPool - (inPool + Fixtures.DOMAINS - 1) / Fixtures.DOMAINS;
            wantedPools.add(
                    new Pool(
                            name(i),
                            Fixtures.MODEL,
                            MODEL_BYTES,
                            (int) (wantedShare * surviving),
                            supplies()));
        }
        final List<PoolMember> members = new ArrayList<>();
        int number = 0;
        for (final Endpoint endpoint : Fixtures.endpoints(size)) {
            final Supply supply = supplies().get(number % Fixtures.DOMAINS);
            members.add(
                    new PoolMember(name(number / Fixtures.DOMAINS % pools), endpoint, supply, 12));
            number++;
        }
        return new FleetView(wantedPools, members, List.of(), 1);
    }

    private static PoolName name(final int number) {
        return new PoolName("pool" + number);
    }

    private static List<Supply> supplies() {
        final List<Supply> supplies = new ArrayList<>();
        for (final Billing billing : new Billing[] {Billing.RECLAIMABLE, Billing.ON_DEMAND}) {
            for (int i = 0; i < Fixtures.DOMAINS; i++) {
                final double price = billing == Billing.RECLAIMABLE ? 2 : 6;
                supplies.add(new Supply(Fixtures.domain(i), "engine-large", billing, price));
            }
        }
        return supplies;
    }
}
