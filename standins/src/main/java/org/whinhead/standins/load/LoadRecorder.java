package org.whinhead.standins.load;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.HdrHistogram.ConcurrentHistogram;
import org.whinhead.standins.load.caller.CallObserver;
import org.whinhead.standins.load.result.LatencyDistribution;
import org.whinhead.standins.load.result.LoadResult;
import org.whinhead.standins.load.result.Outcome;
import org.whinhead.standins.load.result.RequestResult;

/** Gathers what callers see, from any thread. */
final class LoadRecorder implements CallObserver {

    private static final long LONGEST_MICROS = TimeUnit.HOURS.toMicros(1);
    private static final int DIGITS = 3;

    private final Queue<RequestResult> mResults = new ConcurrentLinkedQueue<>();
    private final ConcurrentHistogram mFirstToken = newHistogram();
    private final ConcurrentHistogram mBetweenTokens = newHistogram();
    private final Map<String, ConcurrentHistogram> mFirstTokenByTier = new ConcurrentHashMap<>();
    private final Map<String, ConcurrentHistogram> mLatencyByKind = new ConcurrentHashMap<>();

    @Override
    public void betweenTokens(final Duration gap) {
        record(mBetweenTokens, gap);
    }

    @Override
    public void ended(final RequestResult result) {
        mResults.add(result);
        result.firstToken().ifPresent(time -> firstToken(result.request().customer().tier(), time));
        if (result.outcome() == Outcome.COMPLETED) {
            final String kind = result.request().kind().name();
            record(named(mLatencyByKind, kind), result.latency());
        }
    }

    private void firstToken(final String tier, final Duration time) {
        record(mFirstToken, time);
        record(named(mFirstTokenByTier, tier), time);
    }

    /**
     * Copies what was seen so far.
     *
     * @param deployment the name of the mix
     * @param elapsed how long the run has taken
     * @return the copy
     */
    LoadResult result(final String deployment, final Duration elapsed) {
        return new LoadResult(
                deployment,
                elapsed,
                List.copyOf(mResults),
                new LatencyDistribution(mFirstToken),
                new LatencyDistribution(mBetweenTokens),
                copy(mFirstTokenByTier),
                copy(mLatencyByKind));
    }

    private static ConcurrentHistogram named(
            final Map<String, ConcurrentHistogram> histograms, final String name) {
        return histograms.computeIfAbsent(name, missing -> newHistogram());
    }

    private static Map<String, LatencyDistribution> copy(
            final Map<String, ConcurrentHistogram> histograms) {
        return histograms.entrySet().stream()
                .collect(
                        Collectors.toMap(
                                Map.Entry::getKey,
                                entry -> new LatencyDistribution(entry.getValue())));
    }

    private static ConcurrentHistogram newHistogram() {
        return new ConcurrentHistogram(LONGEST_MICROS, DIGITS);
    }

    private static void record(final ConcurrentHistogram histogram, final Duration time) {
        final long micros = TimeUnit.NANOSECONDS.toMicros(Math.max(0, time.toNanos()));
        histogram.recordValue(Math.min(micros, LONGEST_MICROS));
    }
}
