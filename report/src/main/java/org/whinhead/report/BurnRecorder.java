package org.whinhead.report;

import java.net.URI;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import org.whinhead.api.model.DaemonId;

/**
 * Counts ended requests of one daemon by customer, tier and minute. Not thread-safe.
 *
 * <p>Memory is bounded: {@value #MAX_SERIES} series of at most {@link #MAX_MINUTES_PER_SERIES}
 * minutes with requests. Requests of further series are reported as left out. A series without
 * requests in the longest window is dropped if a new one needs its place.
 */
public final class BurnRecorder {

    /** The largest number of series. */
    public static final int MAX_SERIES = 500;

    /** The largest number of minutes of a series. */
    public static final int MAX_MINUTES_PER_SERIES = (int) Window.LONG.length().toMinutes();

    private static final long SECONDS_PER_MINUTE = Duration.ofMinutes(1).toSeconds();

    private final DaemonId mDaemon;
    private final URI mAddress;
    private final Instant mSince;
    private final Map<SeriesKey, Deque<MinuteCounts>> mSeries = new TreeMap<>();
    private SortedMap<String, Objective> mObjectives = new TreeMap<>();
    private long mLeftOut;
    private long mLastSweepMinute;

    /**
     * Creates an empty recorder.
     *
     * @param daemon the daemon whose requests are counted
     * @param address the address that the daemon advertises to callers
     * @param since when counting began
     */
    public BurnRecorder(final DaemonId daemon, final URI address, final Instant since) {
        mDaemon = Objects.requireNonNull(daemon, "daemon");
        mAddress = Objects.requireNonNull(address, "address");
        mSince = Objects.requireNonNull(since, "since");
    }

    /**
     * Sets the objectives of the tiers, which apply to requests recorded from now on.
     *
     * @param objectives one objective for each tier
     */
    public void setObjectives(final Collection<Objective> objectives) {
        final SortedMap<String, Objective> byTier = new TreeMap<>();
        objectives.forEach(objective -> byTier.put(objective.tier(), objective));
        mObjectives = byTier;
    }

    /**
     * Counts requests that ended without a sample, for example because a buffer was full.
     *
     * @param requests the number of requests
     */
    public void addLeftOut(final long requests) {
        mLeftOut += requests;
    }

    /**
     * Counts one ended request.
     *
     * @param sample the request
     */
    public void record(final RequestSample sample) {
        final long minute = epochMinute(sample.endedAt());
        Deque<MinuteCounts> minutes = mSeries.get(sample.key());
        if (minutes == null) {
            if (!ensureCapacity(minute)) {
                mLeftOut++;
                return;
            }
            minutes = new ArrayDeque<>();
            mSeries.put(sample.key(), minutes);
        }
        final Counts counts = countsOf(sample);
        final MinuteCounts last = minutes.peekLast();
        if (last != null && last.epochMinute() >= minute) {
            minutes.removeLast();
            minutes.addLast(new MinuteCounts(last.epochMinute(), last.counts().plus(counts)));
        } else {
            minutes.addLast(new MinuteCounts(minute, counts));
        }
        dropExpired(minutes, minute);
    }

    /**
     * Returns the counts up to now.
     *
     * @param now the current time
     * @return the report
     */
    public DaemonReport report(final Instant now) {
        final long minute = epochMinute(now);
        final List<DaemonReport.Series> series = new ArrayList<>();
        mSeries.forEach(
                (key, minutes) -> {
                    dropExpired(minutes, minute);
                    series.add(new DaemonReport.Series(key, List.copyOf(minutes)));
                });
        return new DaemonReport(
                mDaemon,
                mAddress,
                mSince,
                now,
                List.copyOf(mObjectives.values()),
                series,
                mLeftOut);
    }

    /** Drops expired series at the bound, once a minute; returns whether another series fits. */
    private boolean ensureCapacity(final long minute) {
        if (mSeries.size() == MAX_SERIES && mLastSweepMinute != minute) {
            mLastSweepMinute = minute;
            mSeries.values().forEach(minutes -> dropExpired(minutes, minute));
            mSeries.values().removeIf(Deque::isEmpty);
        }
        return mSeries.size() < MAX_SERIES;
    }

    private Counts countsOf(final RequestSample sample) {
        final Objective objective = mObjectives.get(sample.key().tier());
        final Outcome outcome = sample.outcome();
        final boolean firstInTime =
                objective != null
                        && sample.firstToken()
                                .filter(time -> !isLonger(time, objective.firstTokenTarget()))
                                .isPresent();
        final boolean streamInTime =
                objective != null
                        && sample.betweenTokens()
                                .filter(time -> !isLonger(time, objective.betweenTokensTarget()))
                                .isPresent();
        return new Counts(
                toCount(outcome.countsTowardsAvailability()),
                toCount(outcome.isGood()),
                toCount(outcome == Outcome.REFUSED_NOT_RUN),
                toCount(outcome == Outcome.FAILED_MAY_HAVE_RUN),
                toCount(sample.firstToken().isPresent()),
                toCount(firstInTime),
                toCount(sample.betweenTokens().isPresent()),
                toCount(streamInTime),
                sample.generatedTokens(),
                sample.recomputedTokens());
    }

    private static boolean isLonger(final Duration time, final Duration target) {
        return time.compareTo(target) > 0;
    }

    private static long toCount(final boolean condition) {
        return condition ? 1 : 0;
    }

    private static void dropExpired(final Deque<MinuteCounts> minutes, final long minute) {
        while (!minutes.isEmpty()
                && minutes.peekFirst().epochMinute() <= minute - MAX_MINUTES_PER_SERIES) {
            minutes.removeFirst();
        }
    }

    private static long epochMinute(final Instant instant) {
        return Math.floorDiv(instant.getEpochSecond(), SECONDS_PER_MINUTE);
    }
}
