package org.whinhead.serving.duty;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.whinhead.serving.usage.UsageLedger;
import org.whinhead.serving.usage.UsageWindows;

/** Decides which windows are due, and what is reported of them. */
public final class UsageDecider {

    /** How long after a window's end its counts have arrived from all daemons. */
    private static final Duration SETTLING_TIME = Duration.ofMillis(2_000);

    /** How many windows back a report is still made up for. */
    private static final int MAX_LATE_WINDOWS = 3;

    private final UsageWindows mWindows;
    private final UsageLedger mLedger;
    private final long mFirstWindow;

    /**
     * Makes a plan.
     *
     * @param windows the deployment's windows
     * @param ledger the counts
     * @param startedAt when this daemon started; it knows nothing of windows before
     */
    public UsageDecider(
            final UsageWindows windows, final UsageLedger ledger, final Instant startedAt) {
        mWindows = windows;
        mLedger = ledger;
        mFirstWindow = windows.windowAt(startedAt);
    }

    /**
     * Adds decisions for the windows that are due.
     *
     * @param decided the decisions so far
     * @param timeOfDay the time of day
     * @return all decisions; the same list if nothing is due
     */
    public List<UsageDecision> decide(final List<UsageDecision> decided, final Instant timeOfDay) {
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
            all.add(new UsageDecision(window, mLedger.totals(window), false));
        }
        return all;
    }
}
