package org.whinhead.bench.overhead;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Sends the same request repeatedly, in an open loop at a rate or in a closed loop. */
final class LoadGenerator {

    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int OK = 200;
    private static final String KEY_HEADER = "Idempotency-Key";

    private final HttpClient mClient;
    private final URI mUri;
    private final String mKey;
    private final AtomicLong mNumber = new AtomicLong();

    LoadGenerator(final HttpClient client, final URI uri, final String key) {
        mClient = client;
        mUri = uri;
        mKey = key;
    }

    /** Starts requests at even intervals; latency is measured from the intended start. */
    Outcome runOpenLoop(final int perSecond, final Duration time) {
        final Histogram nanos = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
        final AtomicLong failed = new AtomicLong();
        final long interval = Duration.ofSeconds(1).toNanos() / perSecond;
        final long count = time.toNanos() / interval;
        final Semaphore ended = new Semaphore(0);
        final long start = System.nanoTime();
        for (long i = 0; i < count; i++) {
            final long intended = start + i * interval;
            long wait = intended - System.nanoTime();
            while (wait > 0) {
                LockSupport.parkNanos(wait);
                wait = intended - System.nanoTime();
            }
            send().whenComplete(
                            (response, fault) -> {
                                recordResult(response, nanos, failed, intended);
                                ended.release();
                            });
        }
        ended.acquireUninterruptibly((int) count);
        return new Outcome(nanos, failed.get(), System.nanoTime() - start);
    }

    /** Keeps a constant number of requests in progress. */
    Outcome runClosedLoop(final int inProgress, final Duration time) {
        final Histogram nanos = new ConcurrentHistogram(SIGNIFICANT_DIGITS);
        final AtomicLong failed = new AtomicLong();
        final Semaphore ended = new Semaphore(0);
        final long start = System.nanoTime();
        final long end = start + time.toNanos();
        for (int i = 0; i < inProgress; i++) {
            repeat(nanos, failed, end, ended);
        }
        ended.acquireUninterruptibly(inProgress);
        return new Outcome(nanos, failed.get(), System.nanoTime() - start);
    }

    private void repeat(
            final Histogram nanos, final AtomicLong failed, final long end, final Semaphore ended) {
        final long started = System.nanoTime();
        if (started >= end) {
            ended.release();
            return;
        }
        send().whenComplete(
                        (response, fault) -> {
                            recordResult(response, nanos, failed, started);
                            repeat(nanos, failed, end, ended);
                        });
    }

    private CompletableFuture<HttpResponse<Void>> send() {
        final HttpRequest request =
                HttpRequest.newBuilder(mUri)
                        .header("Authorization", "Bearer " + mKey)
                        .header("Content-Type", "application/json")
                        .header(KEY_HEADER, mUri.getPort() + "-" + mNumber.incrementAndGet())
                        .POST(HttpRequest.BodyPublishers.ofString("{\"case\":\"7\"}"))
                        .build();
        return mClient.sendAsync(request, BodyHandlers.discarding());
    }

    private static void recordResult(
            final HttpResponse<Void> response,
            final Histogram nanos,
            final AtomicLong failed,
            final long start) {
        if (response == null || response.statusCode() != OK) {
            failed.incrementAndGet();
        } else {
            nanos.recordValue(System.nanoTime() - start);
        }
    }

    /**
     * Result of a run.
     *
     * @param nanos latencies of the requests answered with status 200, in nanoseconds
     * @param failed number of other requests
     * @param elapsed duration of the run in nanoseconds
     */
    record Outcome(Histogram nanos, long failed, long elapsed) {

        double millisAt(final double percentile) {
            return nanos.getValueAtPercentile(percentile) / (double) Duration.ofMillis(1).toNanos();
        }

        double perSecond() {
            return nanos.getTotalCount() * (double) Duration.ofSeconds(1).toNanos() / elapsed;
        }
    }
}
