package org.whinhead.report;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.whinhead.api.model.DaemonId;

/**
 * Counts ended requests of one daemon by customer, tier and minute; single-threaded.
 *
 * <p>Memory is bounded: {@value #MOST_SERIES} series of at most {@link #MINUTES} minutes that had a
 * request. Requests of further series are counted as left out, and the report says so.
 */
public final class BurnRecorder {

    /** The most series kept. */
    public static final int MOST_SERIES = 500;

    /** The most minutes kept for a series. */
    public static final int MINUTES = (int) Window.LONG.length().toMinutes();

    private static final long SECONDS_PER_MINUTE = Duration.ofMinutes(1).toSeconds();

    private final DaemonId mDaemon;
    private final Instant mSince;
    private final Map<SeriesKey, Deque<Minute>> mSeries = new TreeMap<>();
    private Map<String, Objective> mObjectives = Map.of();
    private long mLeftOut;

    /**
     * Makes an empty recorder.
     *
     * @param daemon whose requests are counted
     * @param since when counting began
     */
    public BurnRecorder(final DaemonId daemon, final Instant since) {
        mDaemon = Objects.requireNonNull(daemon, "daemon");
        mSince = Objects.requireNonNull(since, "since");
    }

    /**
     * Sets what the tiers promise; later requests are judged by it.
     *
     * @param objectives the promises by tier
     */
    public void objectives(final Map<String, Objective> objectives) {
        mObjectives = Map.copyOf(objectives);
    }

    /**
     * Counts one ended request.
     *
     * @param sample the request
     */
    public void record(final RequestSample sample) {
        Deque<Minute> minutes = mSeries.get(sample.key());
        if (minutes == null) {
            if (mSeries.size() == MOST_SERIES) {
                mLeftOut++;
                return;
            }
            minutes = new ArrayDeque<>();
            mSeries.put(sample.key(), minutes);
        }
        final long number = minuteOf(sample.at());
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
        return new DaemonReport(mDaemon, mSince, now, series, mLeftOut);
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
