package org.whinhead.faults.matrix;

import java.time.Duration;
import org.whinhead.api.verdict.Verdict;
import org.whinhead.faults.world.FakeCaller;
import org.whinhead.faults.world.FakeWorld;

/**
 * The outcome of a cell in which every invariant held.
 *
 * @param completed the number of callers that received their whole answer
 * @param notRun the number of callers whose request was refused as not run
 * @param mayHaveRun the number of callers whose request was refused as possibly run
 * @param disconnected the number of callers that hung up
 * @param staleOrdersRefused the number of orders refused for an old fencing number
 * @param staleOrderWindow the longest time after a newer lease holder's first order at which an
 *     engine still executed an order of an older holder
 */
public record CellOutcome(
        int completed,
        int notRun,
        int mayHaveRun,
        int disconnected,
        int staleOrdersRefused,
        Duration staleOrderWindow) {

    static CellOutcome of(final FakeWorld world) {
        int completed = 0;
        int notRun = 0;
        int disconnected = 0;
        for (final FakeCaller caller : world.callers()) {
            completed += caller.outcome() == FakeCaller.Outcome.WHOLE ? 1 : 0;
            disconnected += caller.outcome() == FakeCaller.Outcome.LEFT ? 1 : 0;
            notRun += wasNotRun(caller) ? 1 : 0;
        }
        final int mayHaveRun = world.callers().size() - completed - notRun - disconnected;
        final int staleRefused = world.fleet().orders().staleRefusedCount();
        return new CellOutcome(
                completed,
                notRun,
                mayHaveRun,
                disconnected,
                staleRefused,
                world.fleet().orders().staleWindow());
    }

    private static boolean wasNotRun(final FakeCaller caller) {
        return caller.outcome() == FakeCaller.Outcome.REFUSED
                && caller.refusal().orElseThrow().verdict() == Verdict.NOT_RUN;
    }

    @Override
    public String toString() {
        final StringBuilder text = new StringBuilder(completed + " whole");
        append(text, notRun, " not run");
        append(text, mayHaveRun, " may have run");
        append(text, disconnected, " left");
        append(text, staleOrdersRefused, " old orders refused");
        if (!staleOrderWindow.isZero()) {
            text.append(", old order obeyed after ")
                    .append(staleOrderWindow.toMillis())
                    .append(" ms");
        }
        return text.toString();
    }

    private static void append(final StringBuilder text, final int count, final String what) {
        if (count > 0) {
            text.append(", ").append(count).append(what);
        }
    }
}
