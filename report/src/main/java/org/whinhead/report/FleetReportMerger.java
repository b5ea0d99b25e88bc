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
 * Merges daemons' reports one at a time, so that not all of them are in memory at once. The time of
 * the merged report is that of the newest report, independent of the clock of the operator's
 * machine. Not thread-safe.
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
     * Sets the present price of the fleet.
     *
     * @param pricePerHour the price of all VMs per hour, if known
     */
    public void setPricePerHour(final OptionalDouble pricePerHour) {
        mPricePerHour = pricePerHour;
    }

    /**
     * Adds the counts of one daemon. A second report of the same daemon is ignored, because a
     * daemon may be reached by two addresses.
     *
     * @param report the daemon's report
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
     * Adds a daemon that could not be reached or did not answer.
     *
     * @param daemon the daemon's name or address, and the cause
     */
    public void addMissingDaemon(final String daemon) {
        mMissing.add(daemon);
    }

    /** Returns whether no report has been added yet. */
    public boolean isEmpty() {
        return mCollected.isEmpty();
    }

    /** Returns the merged report. */
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
            mNotes.add(
                    "the cost is too high: requests completed by missing daemons are not counted");
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

    /** Applies the objectives of the newest report to all, so that each line has a single one. */
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

    /** Adds a note about a lagging clock, which moves requests of its daemon into wrong minutes. */
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
