package org.whinhead.report;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.SortedMap;
import java.util.SortedSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Adds up daemons' reports one at a time, so that not all of them need room at once;
 * single-threaded. Its time is that of the newest report, so that the clock of the operator's
 * machine does not matter.
 */
public final class FleetReportMerger {

    private static final long SECONDS_PER_MINUTE = Duration.ofMinutes(1).toSeconds();

    private static final Duration MAX_CLOCK_LAG = Duration.ofMinutes(2);

    private final SortedMap<SeriesKey, SortedMap<Long, Counts>> mSums = new TreeMap<>();
    private final SortedMap<String, Objective> mObjectives = new TreeMap<>();
    private final SortedMap<String, Instant> mCollected = new TreeMap<>();
    private final List<String> mMissing = new ArrayList<>();
    private final SortedSet<String> mNotes = new TreeSet<>();
    private OptionalDouble mPricePerHour = OptionalDouble.empty();
    private Instant mNewestReportAt = Instant.EPOCH;
    private Instant mSince = Instant.MAX;

    /**
     * Sets the price of the fleet.
     *
     * @param pricePerHour what all VMs cost an hour, if it is known
     */
    public void setPricePerHour(final OptionalDouble pricePerHour) {
        mPricePerHour = pricePerHour;
    }

    /**
     * Adds what one daemon counted; a daemon that was added before is passed over, because it may
     * be reached by two addresses.
     *
     * @param report its report
     */
    public void add(final DaemonReport report) {
        if (mCollected.putIfAbsent(report.daemon().value(), report.asOf()) != null) {
            return;
        }
        mSince = report.since().isBefore(mSince) ? report.since() : mSince;
        noteIncompleteCounts(report);
        addObjectives(report);
        for (final DaemonReport.Series series : report.series()) {
            final SortedMap<Long, Counts> minutes =
                    mSums.computeIfAbsent(series.key(), key -> new TreeMap<>());
            for (final MinuteCounts minute : series.minutes()) {
                minutes.merge(minute.epochMinute(), minute.counts(), Counts::plus);
            }
        }
    }

    /**
     * Notes a daemon that could not be asked or did not answer.
     *
     * @param daemon its name or address, and the cause
     */
    public void addMissingDaemon(final String daemon) {
        mMissing.add(daemon);
    }

    /** Tells whether no report was added yet. */
    public boolean isEmpty() {
        return mCollected.isEmpty();
    }

    /** Returns the sum of what was added. */
    public FleetReport report() {
        final List<FleetReport.Line> lines = new ArrayList<>();
        mSums.forEach(
                (key, minutes) -> {
                    final Objective objective = mObjectives.get(key.tier());
                    if (objective == null) {
                        mNotes.add("tier " + key.tier() + " has no objective in force");
                    } else {
                        lines.add(mergeLine(key, objective, minutes));
                    }
                });
        if (mPricePerHour.isPresent() && !mMissing.isEmpty()) {
            mNotes.add("the cost is too high: what missing daemons completed is not counted");
        }
        mCollected.forEach(this::noteClockLag);
        Collections.sort(mMissing);
        return new FleetReport(
                mNewestReportAt,
                mSince.isBefore(mNewestReportAt) ? mSince : mNewestReportAt,
                mPricePerHour,
                lines,
                List.copyOf(mCollected.keySet()),
                mMissing,
                List.copyOf(mNotes));
    }

    /** The objectives of the newest report hold for all, so that each line is judged by one. */
    private void addObjectives(final DaemonReport report) {
        final boolean newer = report.asOf().isAfter(mNewestReportAt);
        if (newer) {
            mNewestReportAt = report.asOf();
        }
        for (final Objective objective : report.objectives()) {
            final Objective other = mObjectives.get(objective.tier());
            if (other != null && !other.equals(objective)) {
                mNotes.add("daemons differ in the objectives of tier " + objective.tier());
            }
            if (other == null || newer) {
                mObjectives.put(objective.tier(), objective);
            }
        }
    }

    /** A clock that lags moves a daemon's requests into the wrong minutes. */
    private void noteClockLag(final String daemon, final Instant asOf) {
        if (Duration.between(asOf, mNewestReportAt).compareTo(MAX_CLOCK_LAG) > 0) {
            mNotes.add("the clock of " + daemon + " is behind: " + asOf);
        }
    }

    private void noteIncompleteCounts(final DaemonReport report) {
        final Duration age = Duration.between(report.since(), report.asOf());
        if (age.compareTo(Window.LONG.length()) < 0) {
            mNotes.add(report.daemon() + " counts only since " + report.since());
        }
        if (report.leftOut() > 0) {
            mNotes.add(report.daemon() + " left out " + report.leftOut() + " requests");
        }
    }

    private FleetReport.Line mergeLine(
            final SeriesKey key, final Objective objective, final SortedMap<Long, Counts> minutes) {
        final Map<Window, Counts> windows = new EnumMap<>(Window.class);
        final long thisMinute = Math.floorDiv(mNewestReportAt.getEpochSecond(), SECONDS_PER_MINUTE);
        for (final Window window : Window.values()) {
            final long first = thisMinute - window.length().toMinutes() + 1;
            final Counts sum =
                    minutes.tailMap(first).values().stream().reduce(Counts.NONE, Counts::plus);
            windows.put(window, sum);
        }
        final List<MinuteCounts> list = new ArrayList<>();
        minutes.forEach((number, counts) -> list.add(new MinuteCounts(number, counts)));
        return new FleetReport.Line(key, objective, windows, list);
    }
}
