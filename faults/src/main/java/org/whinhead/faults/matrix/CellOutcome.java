package org.whinhead.faults.matrix;

import java.time.Duration;
import org.whinhead.api.verdict.Verdict;
import org.whinhead.faults.world.FakeCaller;
import org.whinhead.faults.world.FakeWorld;

/**
 * What was seen in a cell in which every invariant held.
 *
 * @param whole callers with their whole answer
 * @param notRun callers refused as not run
 * @param mayHaveRun callers refused as perhaps run
 * @param left callers that hung up
 * @param refusedAsOld orders refused for their old fencing number
 * @param window the longest time by which an old order was obeyed after a newer holder's first
 */
public record CellOutcome(
        int completed,
        int notRun,
        int mayHaveRun,
        int disconnected,
        int staleOrdersRefused,
        Duration staleOrderWindow) {

    static CellOutcome of(final FakeWorld world) {
        int whole = 0;
        int notRun = 0;
        int left = 0;
        for (final FakeCaller caller : world.callers()) {
            whole += caller.outcome() == FakeCaller.Outcome.WHOLE ? 1 : 0;
            left += caller.outcome() == FakeCaller.Outcome.LEFT ? 1 : 0;
            notRun += wasNotRun(caller) ? 1 : 0;
        }
        final int rest = world.callers().size() - whole - notRun - left;
        final int old = world.fleet().orders().staleRefusedCount();
        return new CellOutcome(
                whole, notRun, rest, left, old, world.fleet().orders().staleWindow());
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
