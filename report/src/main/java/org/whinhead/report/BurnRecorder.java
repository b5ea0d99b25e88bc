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
    public static final int MOST_SERIES = 500;

    /** The most minutes kept for a series. */
    public static final int MINUTES = (int) Window.LONG.length().toMinutes();

    private static final long SECONDS_PER_MINUTE = Duration.ofMinutes(1).toSeconds();

    private final DaemonId mDaemon;
    private final URI mAddress;
    private final Instant mSince;
    private final Map<SeriesKey, Deque<Minute>> mSeries = new TreeMap<>();
    private SortedMap<String, Objective> mObjectives = new TreeMap<>();
    private long mLeftOut;
    private long mLastSweep;

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
    public void objectives(final Collection<Objective> objectives) {
        final SortedMap<String, Objective> byTier = new TreeMap<>();
        objectives.forEach(objective -> byTier.put(objective.tier(), objective));
        mObjectives = byTier;
    }

    /**
     * Counts requests that ended without a sample, for example for lack of room.
     *
     * @param requests how many
     */
    public void leftOut(final long requests) {
        mLeftOut += requests;
    }

    /**
     * Counts one ended request.
     *
     * @param sample the request
     */
    public void record(final RequestSample sample) {
        final long number = minuteOf(sample.at());
        Deque<Minute> minutes = mSeries.get(sample.key());
        if (minutes == null) {
            if (!hasRoom(number)) {
                mLeftOut++;
                return;
            }
            minutes = new ArrayDeque<>();
            mSeries.put(sample.key(), minutes);
        }
        final Counts counts = countsOf(sample);
        final Minute last = minutes.peekLast();
        if (last != null && last.number() >= number) {
            minutes.removeLast();
            minutes.addLast(new Minute(last.number(), last.counts().plus(counts)));
        } else {
            minutes.addLast(new Minute(number, counts));
        }
        dropOld(minutes, number);
    }

    /**
     * Returns what was counted.
     *
     * @param now the time
     * @return the report
     */
    public DaemonReport report(final Instant now) {
        final long number = minuteOf(now);
        final List<DaemonReport.Series> series = new ArrayList<>();
        mSeries.forEach(
                (key, minutes) -> {
                    dropOld(minutes, number);
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
    private boolean hasRoom(final long number) {
        if (mSeries.size() == MOST_SERIES && mLastSweep != number) {
            mLastSweep = number;
            mSeries.values().forEach(minutes -> dropOld(minutes, number));
            mSeries.values().removeIf(Deque::isEmpty);
        }
        return mSeries.size() < MOST_SERIES;
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
                one(outcome.counts()),
                one(outcome.isGood()),
                one(outcome == Outcome.REFUSED_NOT_RUN),
                one(outcome == Outcome.FAILED_MAY_HAVE_RUN),
                one(sample.firstToken().isPresent()),
                one(firstInTime),
                one(sample.betweenTokens().isPresent()),
                one(streamInTime),
                sample.generatedTokens(),
                sample.recomputedTokens());
    }

    private static boolean isLonger(final Duration time, final Duration target) {
        return time.compareTo(target) > 0;
    }

    private static long one(final boolean condition) {
        return condition ? 1 : 0;
    }

    private static void dropOld(final Deque<Minute> minutes, final long number) {
        while (!minutes.isEmpty() && minutes.peekFirst().number() <= number - MINUTES) {
            minutes.removeFirst();
        }
    }

    private static long minuteOf(final Instant instant) {
        return Math.floorDiv(instant.getEpochSecond(), SECONDS_PER_MINUTE);
    }
}
