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
 * Counts ended requests of one daemon by customer, tier and minute; single-threaded.
 *
 * <p>Memory is bounded: {@value #MOST_SERIES} series of at most {@link #MINUTES} minutes that had a
 * request. Requests of further series are counted as left out, and the report says so. A series
 * that had no request within the longest window makes room for another one.
 */
public final class BurnRecorder {

    /** The most series kept. */
    public static final int MAX_SERIES = 500;

    /** The most minutes kept for a series. */
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
     * Makes an empty recorder.
     *
     * @param daemon whose requests are counted
     * @param address the address that callers are told
     * @param since when counting began
     */
    public BurnRecorder(final DaemonId daemon, final URI address, final Instant since) {
        mDaemon = Objects.requireNonNull(daemon, "daemon");
        mAddress = Objects.requireNonNull(address, "address");
        mSince = Objects.requireNonNull(since, "since");
    }

    /**
     * Sets what the tiers promise; later requests are judged by it.
     *
     * @param objectives the promises, one for each tier
     */
    public void setObjectives(final Collection<Objective> objectives) {
        final SortedMap<String, Objective> byTier = new TreeMap<>();
        objectives.forEach(objective -> byTier.put(objective.tier(), objective));
        mObjectives = byTier;
    }

    /**
     * Counts requests that ended without a sample, for example for lack of room.
     *
     * @param requests how many
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
        final long number = epochMinute(sample.endedAt());
        Deque<MinuteCounts> minutes = mSeries.get(sample.key());
        if (minutes == null) {
            if (!ensureCapacity(number)) {
                mLeftOut++;
                return;
            }
            minutes = new ArrayDeque<>();
            mSeries.put(sample.key(), minutes);
        }
        final Counts counts = countsOf(sample);
        final MinuteCounts last = minutes.peekLast();
        if (last != null && last.epochMinute() >= number) {
            minutes.removeLast();
            minutes.addLast(new MinuteCounts(last.epochMinute(), last.counts().plus(counts)));
        } else {
            minutes.addLast(new MinuteCounts(number, counts));
        }
        dropExpired(minutes, number);
    }

    /**
     * Returns what was counted.
     *
     * @param now the time
     * @return the report
     */
    public DaemonReport report(final Instant now) {
        final long number = epochMinute(now);
        final List<DaemonReport.Series> series = new ArrayList<>();
        mSeries.forEach(
                (key, minutes) -> {
                    dropExpired(minutes, number);
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

    /** Drops what is too old when the bound is reached, at most once a minute. */
    private boolean ensureCapacity(final long number) {
        if (mSeries.size() == MAX_SERIES && mLastSweepMinute != number) {
            mLastSweepMinute = number;
            mSeries.values().forEach(minutes -> dropExpired(minutes, number));
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

    private static void dropExpired(final Deque<MinuteCounts> minutes, final long number) {
        while (!minutes.isEmpty()
                && minutes.peekFirst().epochMinute() <= number - MAX_MINUTES_PER_SERIES) {
            minutes.removeFirst();
        }
    }

    private static long epochMinute(final Instant instant) {
        return Math.floorDiv(instant.getEpochSecond(), SECONDS_PER_MINUTE);
    }
}
