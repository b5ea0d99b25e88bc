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
import org.whinhead.standins.load.result.RequestOutcome;
import org.whinhead.standins.load.result.RequestResult;

/** Records the results and latencies of a run. Thread-safe. */
final class LoadRecorder implements CallObserver {

    private static final long MAX_RECORDED_MICROS = TimeUnit.HOURS.toMicros(1);
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Queue<RequestResult> mResults = new ConcurrentLinkedQueue<>();
    private final ConcurrentHistogram mTimeToFirstToken = newHistogram();
    private final ConcurrentHistogram mTimeBetweenTokens = newHistogram();
    private final Map<String, ConcurrentHistogram> mTimeToFirstTokenByTier =
            new ConcurrentHashMap<>();
    private final Map<String, ConcurrentHistogram> mLatencyByKind = new ConcurrentHashMap<>();

    @Override
    public void onTokenInterval(final Duration interval) {
        record(mTimeBetweenTokens, interval);
    }

    @Override
    public void onRequestEnded(final RequestResult result) {
        mResults.add(result);
        result.timeToFirstToken()
                .ifPresent(
                        time -> recordTimeToFirstToken(result.request().customer().tier(), time));
        if (result.outcome() == RequestOutcome.COMPLETED) {
            final String kind = result.request().kind().name();
            record(histogramOf(mLatencyByKind, kind), result.latency());
        }
    }

    private void recordTimeToFirstToken(final String tier, final Duration time) {
        record(mTimeToFirstToken, time);
        record(histogramOf(mTimeToFirstTokenByTier, tier), time);
    }

    /**
     * Returns a snapshot of the results recorded so far.
     *
     * @param deployment the name of the workload
     * @param elapsed the time since the start of the run
     * @return the snapshot
     */
    LoadResult snapshot(final String deployment, final Duration elapsed) {
        return new LoadResult(
                deployment,
                elapsed,
                List.copyOf(mResults),
                new LatencyDistribution(mTimeToFirstToken),
                new LatencyDistribution(mTimeBetweenTokens),
                copy(mTimeToFirstTokenByTier),
                copy(mLatencyByKind));
    }

    private static ConcurrentHistogram histogramOf(
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
        return new ConcurrentHistogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS);
    }

    private static void record(final ConcurrentHistogram histogram, final Duration time) {
        final long micros = TimeUnit.NANOSECONDS.toMicros(Math.max(0, time.toNanos()));
        histogram.recordValue(Math.min(micros, MAX_RECORDED_MICROS));
    }
}
