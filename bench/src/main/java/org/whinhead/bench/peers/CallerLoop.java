package org.whinhead.bench.peers;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.atomic.LongAdder;

/** Sends requests to one daemon, one at a time, until the loop is closed. */
final class CallerLoop implements AutoCloseable {

    private final HttpClient mClient;
    private final URI mTarget;
    private final LongAdder mAnswered;
    private final Thread mThread;
    private volatile boolean mClosed;

    CallerLoop(
            final HttpClient client, final URI daemon, final int number, final LongAdder answered) {
        mClient = client;
        mTarget =
                daemon.resolve(
                        "/v1/services/" + LeavingFleet.SERVICE + RecordingEndpoints.path(number));
        mAnswered = answered;
        mThread = new Thread(this::run, "caller-" + number);
        mThread.setDaemon(true);
        mThread.start();
    }

    private void run() {
        final HttpRequest request =
                HttpRequest.newBuilder(mTarget)
                        .header("Authorization", "Bearer " + LeavingFleet.KEY)
                        .build();
        try {
            while (!mClosed) {
                final int status =
                        mClient.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
                if (status == 200) {
                    mAnswered.increment();
                }
            }
        } catch (final IOException e) {
            throw new IllegalStateException(e);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        mClosed = true;
    }
}
