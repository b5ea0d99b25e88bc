package org.whinhead.report;

import java.util.List;

/** The urgency of a burn rate, evaluated over two windows. */
public enum Alert {
    /** Uses two percent of a 30-day allowance in an hour: needs immediate attention. */
    PAGE("PAGE", 14.4, List.of(Window.SHORT, Window.MIDDLE)),
    /** Uses five percent of a 30-day allowance in six hours: needs attention the same day. */
    TICKET("ticket", 6, List.of(Window.MIDDLE, Window.LONG)),
    /** Needs no attention. */
    NONE("", 0, List.of());

    /** The fewest misses that raise an alert: one miss among few requests is a high burn rate. */
    private static final long MIN_MISSES = 3;

    private final String mTitle;
    private final double mBurnRateThreshold;
    private final List<Window> mWindows;

    Alert(final String title, final double burnRateThreshold, final List<Window> windows) {
        mTitle = title;
        mBurnRateThreshold = burnRateThreshold;
        mWindows = windows;
    }

    /** Returns the display name; empty for {@link #NONE}. */
    public String title() {
        return mTitle;
    }

    /** Returns the burn rate at and above which the alert is raised. */
    public double burnRateThreshold() {
        return mBurnRateThreshold;
    }

    /**
     * Returns the alert of an indicator. The shorter window of each pair prevents an alert about a
     * fault that is over; the longer one prevents an alert about a brief fault.
     *
     * @param line the counts of a customer in a tier
     * @param level the service-level indicator
     * @return the most urgent alert whose threshold is reached in both windows
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
