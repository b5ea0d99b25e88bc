package org.whinhead.bench.capacity;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import org.whinhead.admission.AdmissionSettings;
import org.whinhead.admission.Budget;
import org.whinhead.admission.Target;
import org.whinhead.admission.TieredAdmission;
import org.whinhead.api.request.AttemptId;
import org.whinhead.api.request.RequestSpec;
import org.whinhead.requests.AttemptEvent;
import org.whinhead.requests.DefaultRequestCoordinator;

/** A streamed answer from its arrival to its end, and what a request in progress holds. */
public final class RequestsCost extends RoleCost {

    private static final int[] TOKENS = {1, 64, 256, 1024};
    private static final int[] OPEN = {500, 1000, 2000, 4000};
    private static final int WATCHED = 256;
    private static final int AT_ONCE = 400;
    private static final int MEAN_TOKENS = 265;
    private static final int SLOTS = 100_000;
    private static final int BOUND = 100_000;

    private final Random mRandom = new Random();
    private long mNext;

    @Override
    public String name() {
        return "capacity-requests";
    }

    @Override
    public String description() {
        return "CPU and memory of streamed answers in the coordinator";
    }

    @Override
    void measure(final Meter meter, final long seed, final Sheet out) {
        mRandom.setSeed(seed);
        final Series answer = new Series("whole answers", "tokens an answer", "ns an answer");
        for (final int tokens : TOKENS) {
            final World world = new World(seed);
            final List<RequestSpec> specs = specs();
            answer.add(tokens, meter.nanos(() -> answers(world, specs, tokens)));
        }
        out.add(answer);
        final Series tick = new Series("tick", "requests in progress", "ns a tick");
        final Series memory = new Series("state", "requests in progress", "bytes");
        for (final int open : OPEN) {
            final World world = opened(seed, open);
            tick.add(open, meter.nanos(world::tick));
            memory.add(open, meter.retained(() -> opened(seed, open)));
        }
        out.add(tick);
        out.add(memory);
    }

    private List<RequestSpec> specs() {
        final List<RequestSpec> specs = new ArrayList<>();
        for (int i = 0; i < AT_ONCE; i++) {
            specs.add(Fixtures.request(mNext++, mRandom));
        }
        return specs;
    }

    private static long answers(
            final World world, final List<RequestSpec> specs, final int tokens) {
        final List<AttemptId> attempts = world.begin(specs);
        world.deliver(attempts, tokens);
        attempts.forEach(attempt -> world.finish(attempt, tokens));
        return specs.size();
    }

    private World opened(final long seed, final int open) {
        final World world = new World(seed);
        final List<RequestSpec> specs = new ArrayList<>();
        for (int i = 0; i < open; i++) {
            specs.add(Fixtures.request(mNext++, mRandom));
        }
        world.deliver(world.begin(specs), MEAN_TOKENS);
        return world;
    }

    /** A coordinator with the daemon's router and admission. */
    private static final class World {

        private final SilentActions mActions = new SilentActions();
        private final DefaultRequestCoordinator mCoordinator;

        World(final long seed) {
            final TieredAdmission admission =
                    new TieredAdmission(
                            new AdmissionSettings(
                                    BOUND,
                                    SLOTS,
                                    Duration.ofMillis(200),
                                    Duration.ofMillis(500),
                                    Duration.ofSeconds(30)),
                            Budget.UNLIMITED);
            admission.capacityChanged(Target.of(Fixtures.request(0, new Random(seed))), SLOTS);
            mCoordinator =
                    DefaultRequestCoordinator.builder()
                            .router(RoutingCost.router(seed, Fixtures.endpoints(WATCHED)))
                            .admission(admission)
                            .actions(mActions)
                            .random(new SplittableRandom(seed))
                            .build();
        }

        List<AttemptId> begin(final List<RequestSpec> specs) {
            final List<AttemptId> attempts = new ArrayList<>();
            for (final RequestSpec spec : specs) {
                mCoordinator.submit(spec, Fixtures.START);
                final AttemptId attempt = mActions.nextStarted();
                attempts.add(attempt);
                happened(new AttemptEvent.Opened(attempt, "stream-" + attempt.request()));
            }
            return attempts;
        }

        /** Hands tokens to all answers in turn, as many engines at once do. */
        void deliver(final List<AttemptId> attempts, final int tokens) {
            for (int index = 0; index < tokens; index++) {
                for (final AttemptId attempt : attempts) {
                    happened(new AttemptEvent.Token(attempt, index, " word"));
                }
            }
        }

        void finish(final AttemptId attempt, final int tokens) {
            happened(
                    new AttemptEvent.Finished(
                            attempt, "stop", Fixtures.PROMPT_TOKENS, 512, tokens));
        }

        long tick() {
            mCoordinator.tick(Fixtures.START);
            return 1;
        }

        private void happened(final AttemptEvent event) {
            mCoordinator.onAttemptEvent(event, Fixtures.START);
        }
    }
}
