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

/** Measures the cost of whole streamed answers and the memory of requests in progress. */
public final class RequestsCost extends RoleCost {

    private static final int[] ANSWER_TOKENS = {1, 64, 256, 1024};
    private static final int[] OPEN_REQUESTS = {500, 1000, 2000, 4000};
    private static final int WATCHED_ENDPOINTS = 256;
    private static final int CONCURRENT_REQUESTS = 400;
    private static final int MEAN_TOKENS = 265;
    private static final int SLOTS = 100_000;
    private static final int MAX_WAITING = 100_000;

    private final Random mRandom = new Random();
    private long mNextNumber;

    @Override
    public String name() {
        return "capacity-requests";
    }

    @Override
    public String description() {
        return "CPU and memory of streamed answers in the coordinator";
    }

    @Override
    void measure(final Meter meter, final long seed, final SeriesPrinter out) {
        mRandom.setSeed(seed);
        final Series answer = new Series("whole answers", "tokens an answer", "ns an answer");
        for (final int tokens : ANSWER_TOKENS) {
            final Harness harness = new Harness(seed);
            final List<RequestSpec> specs = specs();
            answer.add(tokens, meter.measureCpuNanos(() -> runAnswers(harness, specs, tokens)));
        }
        out.print(answer);
        final Series tick = new Series("tick", "requests in progress", "ns a tick");
        final Series memory = new Series("state", "requests in progress", "bytes");
        for (final int open : OPEN_REQUESTS) {
            final Harness harness = withOpenRequests(seed, open);
            tick.add(open, meter.measureCpuNanos(harness::tick));
            memory.add(open, meter.measureRetainedBytes(() -> withOpenRequests(seed, open)));
        }
        out.print(tick);
        out.print(memory);
    }

    private List<RequestSpec> specs() {
        final List<RequestSpec> specs = new ArrayList<>();
        for (int i = 0; i < CONCURRENT_REQUESTS; i++) {
            specs.add(Fixtures.request(mNextNumber++, mRandom));
        }
        return specs;
    }

    private static long runAnswers(
            final Harness harness, final List<RequestSpec> specs, final int tokens) {
        final List<AttemptId> attempts = harness.begin(specs);
        harness.deliver(attempts, tokens);
        attempts.forEach(attempt -> harness.finish(attempt, tokens));
        return specs.size();
    }

    private Harness withOpenRequests(final long seed, final int open) {
        final Harness harness = new Harness(seed);
        final List<RequestSpec> specs = new ArrayList<>();
        for (int i = 0; i < open; i++) {
            specs.add(Fixtures.request(mNextNumber++, mRandom));
        }
        harness.deliver(harness.begin(specs), MEAN_TOKENS);
        return harness;
    }

    /** A request coordinator with a daemon's router and admission. */
    private static final class Harness {

        private final RecordingActions mActions = new RecordingActions();
        private final DefaultRequestCoordinator mCoordinator;

        Harness(final long seed) {
            final TieredAdmission admission =
                    new TieredAdmission(
                            new AdmissionSettings(
                                    MAX_WAITING,
                                    SLOTS,
                                    Duration.ofMillis(200),
                                    Duration.ofMillis(500),
                                    Duration.ofSeconds(30)),
                            Budget.UNLIMITED);
            admission.capacityChanged(Target.of(Fixtures.request(0, new Random(seed))), SLOTS);
            mCoordinator =
                    DefaultRequestCoordinator.builder()
                            .router(RoutingCost.router(seed, Fixtures.endpoints(WATCHED_ENDPOINTS)))
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
                handle(new AttemptEvent.Opened(attempt, "stream-" + attempt.request()));
            }
            return attempts;
        }

        /** Delivers tokens to all answers in turn, as concurrent engines do. */
        void deliver(final List<AttemptId> attempts, final int tokens) {
            for (int index = 0; index < tokens; index++) {
                for (final AttemptId attempt : attempts) {
                    handle(new AttemptEvent.Token(attempt, index, " word"));
                }
            }
        }

        void finish(final AttemptId attempt, final int tokens) {
            handle(new AttemptEvent.Finished(attempt, "stop", Fixtures.PROMPT_TOKENS, 512, tokens));
        }

        long tick() {
            mCoordinator.tick(Fixtures.START);
            return 1;
        }

        private void handle(final AttemptEvent event) {
            mCoordinator.onAttemptEvent(event, Fixtures.START);
        }
    }
}
