package org.whinhead.serving.duty;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.whinhead.serving.usage.UsageLedger;
import org.whinhead.serving.usage.UsageWindows;

/** Decides the final counts of the windows whose report is due. */
public final class UsageDecider {

    /** The time after a window's end by which the counts of all daemons have arrived. */
    private static final Duration SETTLING_TIME = Duration.ofMillis(2_000);

    /** The number of past windows whose missing reports are still made. */
    private static final int MAX_LATE_WINDOWS = 3;

    private final UsageWindows mWindows;
    private final UsageLedger mLedger;
    private final long mFirstWindow;

    /**
     * Creates a decider.
     *
     * @param windows the deployment's windows
     * @param ledger the counts of all daemons
     * @param startedAt the start time of this daemon, which has no counts of earlier windows
     */
    public UsageDecider(
            final UsageWindows windows, final UsageLedger ledger, final Instant startedAt) {
        mWindows = windows;
        mLedger = ledger;
        mFirstWindow = windows.windowAt(startedAt);
    }

    /**
     * Adds decisions for the windows that are due. A window that may have been decided and reported
     * without this daemon's knowledge is left out, as its counts may have changed since.
     *
     * @param decided the previous decisions
     * @param timeOfDay the time of day
     * @param isUnknown whether a window that was due at a time of day may have such a decision
     * @return all decisions; the same list if no window is due
     */
    public List<UsageDecision> decide(
            final List<UsageDecision> decided,
            final Instant timeOfDay,
            final Predicate<Instant> isUnknown) {
        final long newest = mWindows.windowAt(timeOfDay.minus(SETTLING_TIME)) - 1;
        long next = Math.max(newest - MAX_LATE_WINDOWS, mFirstWindow);
        for (final UsageDecision decision : decided) {
            next = Math.max(next, decision.window() + 1);
        }
        if (next > newest) {
            return decided;
        }
        final List<UsageDecision> all = new ArrayList<>(decided);
        for (long window = next; window <= newest; window++) {
            if (!isUnknown.test(mWindows.endOf(window).plus(SETTLING_TIME))) {
                all.add(new UsageDecision(window, mLedger.totals(window), false));
            }
        }
        return all.size() == decided.size() ? decided : all;
    }
}
