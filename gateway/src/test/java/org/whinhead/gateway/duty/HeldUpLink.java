package org.whinhead.gateway.duty;

import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * A link between a daemon and a server of the platform. While it is cut, messages are held up and
 * sent again as TCP does, after pauses that double.
 */
final class HeldUpLink {

    private static final Duration ONE_WAY = Duration.ofMillis(1);
    private static final Duration SERVER_TIME = Duration.ofMillis(4);
    private static final Duration FIRST_PAUSE = Duration.ofMillis(200);

    private final EventLoop mLoop;
    private final boolean mResetsHonoured;
    private boolean mCut;
    private boolean mClosed;

    /**
     * Creates a link that is not cut.
     *
     * @param loop the event loop of the simulated time
     * @param resetsHonoured whether a call that was given up is dropped if it is held up
     */
    HeldUpLink(final EventLoop loop, final boolean resetsHonoured) {
        mLoop = loop;
        mResetsHonoured = resetsHonoured;
    }

    void setCut(final boolean cut) {
        mCut = cut;
    }

    boolean isCut() {
        return mCut;
    }

    /** Loses all messages from now on, as the daemon has been killed. */
    void close() {
        mClosed = true;
    }

    /**
     * Calls the server.
     *
     * @param server handles the call when it arrives
     * @param timeout the time after which the caller gives up
     * @return the answer
     */
    <T> CompletableFuture<T> call(final Supplier<T> server, final Duration timeout) {
        final CompletableFuture<T> answer = new CompletableFuture<>();
        send(
                () -> {
                    if (mResetsHonoured && answer.isDone()) {
                        return;
                    }
                    final T result = server.get();
                    schedule(() -> send(() -> answer.complete(result), FIRST_PAUSE), SERVER_TIME);
                },
                FIRST_PAUSE);
        schedule(
                () -> answer.completeExceptionally(new IllegalStateException("no answer")),
                timeout);
        return answer;
    }

    /** Runs a call at the server; returns what its answer does when it arrives. */
    private static <T> Runnable reply(final Supplier<T> server, final CompletableFuture<T> answer) {
        try {
            final T result = server.get();
            return () -> answer.complete(result);
        } catch (CompletionException e) {
            return () -> answer.completeExceptionally(e);
        }
    }

    private void send(final Runnable arrival, final Duration pause) {
        final boolean lost = mCut;
        schedule(
                () -> {
                    if (mClosed) {
                        return;
                    }
                    if (lost || mCut) {
                        schedule(() -> send(arrival, pause.multipliedBy(2)), pause);
                    } else {
                        arrival.run();
                    }
                },
                ONE_WAY);
    }

    private void schedule(final Runnable task, final Duration delay) {
        mLoop.schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
    }
}
