package org.whinhead.report;

import java.util.List;

/** How urgently a promise's burn asks for a person, judged over two windows. */
public enum Alert {
    /** Two percent of a 30-day allowance would go in an hour: someone must look now. */
    PAGE("PAGE", 14.4, List.of(Window.SHORT, Window.MIDDLE)),
    /** Five percent of a 30-day allowance would go in six hours: someone must look today. */
    TICKET("ticket", 6, List.of(Window.MIDDLE, Window.LONG)),
    /** Nothing to do. */
    NONE("", 0, List.of());

    /** Fewer misses than this alert nobody: among few requests one miss is a high burn. */
    private static final long MIN_MISSES = 3;

    private final String mTitle;
    private final double mBurnRateThreshold;
    private final List<Window> mWindows;

    Alert(final String title, final double burn, final List<Window> windows) {
        mTitle = title;
        mBurnRateThreshold = burn;
        mWindows = windows;
    }

    /** Returns the name for people; empty if there is nothing to do. */
    public String title() {
        return mTitle;
    }

    /** Returns the burn from which it is raised. */
    public double burnRateThreshold() {
        return mBurnRateThreshold;
    }

    /**
     * Judges a promise. The shorter window of each pair guards against an alert about a fault that
     * is over; the longer one against an alert about a blip.
     *
     * @param line the customer's counts
     * @param level which promise
     * @return the most urgent alert that holds
     */
    public static Alert of(final FleetReport.Line line, final ServiceLevelIndicator level) {
        for (final Alert alert : values()) {
            if (alert.mWindows.stream().allMatch(window -> alert.isRaisedIn(line, level, window))) {
                return alert;
            }
        }
        return NONE;
    }

    private boolean isRaisedIn(
            final FleetReport.Line line, final ServiceLevelIndicator level, final Window window) {
        final Counts counts = line.counts(window);
        final long misses = level.totalEvents(counts) - level.goodEvents(counts);
        return misses >= MIN_MISSES && line.burnRate(level, window) >= mBurnRateThreshold;
    }
}
