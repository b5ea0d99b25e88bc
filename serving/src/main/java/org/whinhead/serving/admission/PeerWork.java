package org.whinhead.serving.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The requests of the other daemons by service, as they last reported them.
 *
 * <p>The sums are kept up to date with each report, as they are read with each request.
 */
final class PeerWork {

    private final Map<String, Report> mReports = new HashMap<>();
    private final Map<String, RankCounts> mRunning = new HashMap<>();
    private final Map<String, RankCounts> mWaiting = new HashMap<>();
    private Duration mMeanAge = Duration.ZERO;

    private record Report(Instant receivedAt, List<ServiceWork> work) {}

    /** Applies a daemon's report, which replaces its earlier one. */
    void update(final String daemon, final List<ServiceWork> work, final Instant now) {
        forget(daemon);
        if (work.isEmpty()) {
            return;
        }
        mReports.put(daemon, new Report(now, List.copyOf(work)));
        for (final ServiceWork one : work) {
            mRunning.merge(one.service(), one.running(), RankCounts::plus);
            mWaiting.merge(one.service(), one.waiting(), RankCounts::plus);
        }
    }

    /** Forgets a daemon that no longer reports. */
    void forget(final String daemon) {
        final Report known = mReports.remove(daemon);
        if (known == null) {
            return;
        }
        for (final ServiceWork one : known.work()) {
            mRunning.computeIfPresent(one.service(), (name, sum) -> sum.minus(one.running()));
            mWaiting.computeIfPresent(one.service(), (name, sum) -> sum.minus(one.waiting()));
        }
    }

    /** Forgets reports older than an age: a partition must not make endpoints look busy. */
    void expire(final Duration maxAge, final Instant now) {
        final Instant oldest = now.minus(maxAge);
        final List<String> old =
                mReports.entrySet().stream()
                        .filter(entry -> entry.getValue().receivedAt().isBefore(oldest))
                        .map(Map.Entry::getKey)
                        .toList();
        old.forEach(this::forget);
        mMeanAge =
                Duration.ofMillis(
                        (long)
                                mReports.values().stream()
                                        .map(report -> Duration.between(report.receivedAt(), now))
                                        .mapToLong(Duration::toMillis)
                                        .average()
                                        .orElse(0));
    }

    RankCounts running(final String service) {
        return mRunning.getOrDefault(service, RankCounts.NONE);
    }

    RankCounts waiting(final String service) {
        return mWaiting.getOrDefault(service, RankCounts.NONE);
    }

    /** Returns the mean age of the reports as of the last check; zero without reports. */
    Duration meanAge() {
        return mMeanAge;
    }
}
