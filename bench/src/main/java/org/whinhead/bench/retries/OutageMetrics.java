package org.whinhead.bench.retries;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import org.whinhead.bench.engine.Simulation;

/** Cost of one outage, from counters read at its start and end, and from the calls of the run. */
final class OutageMetrics {

    static final Duration WARM_UP = Duration.ofSeconds(30);
    static final Duration BEGIN = Duration.ofSeconds(60);
    static final Duration END = Duration.ofSeconds(90);
    static final Duration LENGTH = Duration.ofSeconds(180);

    /** End of the counted arrivals; later calls may still be open at the end of the run. */
    private static final Duration COUNTED_END = Duration.ofSeconds(140);

    private static final Duration BUCKET = Duration.ofSeconds(2);
    private static final double RECOVERED_SHARE = 0.95;

    private final SimulatedCallers mCallers;
    private final LongSupplier mDispatches;
    private final LongSupplier mComputed;
    private long mDispatchesBefore;
    private long mDispatchesAtEnd;
    private long mComputedBefore;
    private long mComputedAtEnd;
    private long mComputedAtWarmUpEnd;

    OutageMetrics(
            final SimulatedCallers callers,
            final LongSupplier dispatches,
            final LongSupplier computed) {
        mCallers = callers;
        mDispatches = dispatches;
        mComputed = computed;
    }

    void onWarmUpEnded() {
        mComputedAtWarmUpEnd = mComputed.getAsLong();
    }

    void onOutageBegan() {
        mDispatchesBefore = mDispatches.getAsLong();
        mComputedBefore = mComputed.getAsLong();
    }

    void onOutageEnded() {
        mDispatchesAtEnd = mDispatches.getAsLong();
        mComputedAtEnd = mComputed.getAsLong();
    }

    /** Returns the dispatches during the outage per call that arrived during it. */
    double dispatchesPerCall() {
        return (double) (mDispatchesAtEnd - mDispatchesBefore) / arrived(BEGIN, END).size();
    }

    /** Returns the mean number of tries of a call that arrived during the outage. */
    double triesPerCall() {
        return arrived(BEGIN, END).stream()
                .mapToInt(SimulatedCallers.Call::tries)
                .average()
                .orElse(0);
    }

    /** Returns the tokens computed per answer during the outage, divided by those before it. */
    double tokensPerAnswer() {
        final double during = (double) (mComputedAtEnd - mComputedBefore) / answered(BEGIN, END);
        final double before =
                (double) (mComputedBefore - mComputedAtWarmUpEnd) / answered(WARM_UP, BEGIN);
        return during / before;
    }

    /** Returns the number of answers in time per second, of those that ended during the outage. */
    double goodput() {
        final long inTime =
                mCallers.calls().stream()
                        .filter(SimulatedCallers.Call::isInTime)
                        .filter(call -> isIn(call.answeredAt(), BEGIN, END))
                        .count();
        return (double) inTime / END.minus(BEGIN).toSeconds();
    }

    /**
     * Returns the share (0 to 1) of calls that arrived during the outage and got a whole answer.
     */
    double answeredShare() {
        return share(arrived(BEGIN, END), call -> call.answeredAt().isBefore(Instant.MAX));
    }

    /**
     * Returns the seconds from the outage's end to the first two consecutive buckets whose share of
     * calls in time on the first try is at least 95% of the share before; -1 if there are none.
     */
    double secondsToRecover() {
        final double threshold = RECOVERED_SHARE * firstTryShare(WARM_UP, BEGIN);
        Duration from = END;
        while (from.compareTo(COUNTED_END) < 0) {
            final Duration next = from.plus(BUCKET);
            if (firstTryShare(from, next) >= threshold
                    && firstTryShare(next, next.plus(BUCKET)) >= threshold) {
                return from.minus(END).toSeconds();
            }
            from = next;
        }
        return -1;
    }

    private double firstTryShare(final Duration from, final Duration to) {
        return share(arrived(from, to), SimulatedCallers.Call::isInTimeOnFirstTry);
    }

    private long answered(final Duration from, final Duration to) {
        return mCallers.calls().stream().filter(call -> isIn(call.answeredAt(), from, to)).count();
    }

    private List<SimulatedCallers.Call> arrived(final Duration from, final Duration to) {
        return mCallers.calls().stream().filter(call -> isIn(call.arrived(), from, to)).toList();
    }

    private static double share(
            final List<SimulatedCallers.Call> calls,
            final Predicate<SimulatedCallers.Call> condition) {
        return (double) calls.stream().filter(condition).count() / calls.size();
    }

    private static boolean isIn(final Instant time, final Duration from, final Duration to) {
        return !time.isBefore(Simulation.START.plus(from))
                && time.isBefore(Simulation.START.plus(to));
    }
}
