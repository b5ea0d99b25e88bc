package org.whinhead.bench.goodput;

import java.io.PrintStream;
import java.time.Duration;
import org.whinhead.admission.Admission;
import org.whinhead.admission.AdmissionSettings;
import org.whinhead.admission.Budget;
import org.whinhead.admission.FifoAdmission;
import org.whinhead.admission.Target;
import org.whinhead.admission.TieredAdmission;
import org.whinhead.api.model.EndpointKind;
import org.whinhead.api.model.Tier;
import org.whinhead.bench.BenchOptions;
import org.whinhead.bench.Benchmark;
import org.whinhead.bench.FigureTable;
import org.whinhead.bench.engine.Conversations;
import org.whinhead.bench.engine.EngineSettings;

/**
 * Measures answers within target per second, by tier, at 0.5 to 3 times the capacity of the
 * engines.
 */
public final class GoodputBenchmark implements Benchmark {

    private static final double[] LOADS = {0.5, 1, 1.5, 2, 3};
    private static final double SATURATING_REQUESTS_PER_SECOND = 60;
    private static final Target TARGET =
            new Target(EndpointKind.MODEL_ENGINE, Conversations.MODEL.toString());

    @Override
    public String name() {
        return "goodput";
    }

    @Override
    public String description() {
        return "0.5 to 3 times capacity: answers within target a second by tier, against no limits";
    }

    @Override
    public void run(final BenchOptions options, final PrintStream out) {
        final double capacity =
                GoodputRun.of(noLimits(), SATURATING_REQUESTS_PER_SECOND, options.seed())
                        .finishedPerSecond();
        final FigureTable figures =
                new FigureTable(
                        "load, admission",
                        "offered/s",
                        "gold/s",
                        "silver/s",
                        "batch/s",
                        "all/s",
                        "all/no-limits");
        for (final double load : LOADS) {
            final GoodputRun.Outcome unlimited =
                    GoodputRun.of(noLimits(), load * capacity, options.seed());
            final GoodputRun.Outcome tiered =
                    GoodputRun.of(tiered(), load * capacity, options.seed());
            add(figures, load + " no limits", unlimited, unlimited);
            add(figures, load + " tiered", tiered, unlimited);
        }
        figures.print(options, out);
    }

    private static void add(
            final FigureTable figures,
            final String label,
            final GoodputRun.Outcome outcome,
            final GoodputRun.Outcome baseline) {
        double offered = 0;
        for (final Tier tier : Conversations.tiers()) {
            offered += outcome.offeredPerSecond(tier);
        }
        figures.add(
                label,
                offered,
                outcome.inTimePerSecond(Conversations.tiers().get(0)),
                outcome.inTimePerSecond(Conversations.tiers().get(1)),
                outcome.inTimePerSecond(Conversations.tiers().get(2)),
                outcome.inTimePerSecond(),
                outcome.inTimePerSecond() / baseline.inTimePerSecond());
    }

    private static Admission noLimits() {
        return new FifoAdmission(Integer.MAX_VALUE, Integer.MAX_VALUE);
    }

    private static Admission tiered() {
        final AdmissionSettings defaults = AdmissionSettings.DEFAULT;
        final AdmissionSettings settings =
                new AdmissionSettings(
                        defaults.maxWaiting(),
                        defaults.initialSlots(),
                        Duration.ofMillis(600),
                        defaults.minRetryAfter(),
                        defaults.maxRetryAfter());
        final TieredAdmission admission = new TieredAdmission(settings, Budget.UNLIMITED);
        final int slots = EngineSettings.DEFAULT.slots() * GoodputRun.SIZES.engines();
        admission.capacityChanged(TARGET, slots);
        return admission;
    }
}
