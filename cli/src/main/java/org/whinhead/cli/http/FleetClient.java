package org.whinhead.cli.http;

import io.undertow.util.Methods;
import java.net.URI;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionService;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorCompletionService;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.whinhead.cli.CliException;

/**
 * Asks all daemons the same, some at a time.
 *
 * <p>Guards against a fleet of which many daemons are silent: each call ends after its timeout, and
 * all of them after the bound, with what has come until then.
 */
public final class FleetClient implements AutoCloseable {

    private static final int MAX_CONCURRENT_CALLS = 16;

    private final List<URI> mNamed;
    private final Optional<String> mKey;
    private final OperatorHttpClient mExchange;
    private final Duration mTotalTimeout;
    private final ExecutorService mExecutor = Executors.newFixedThreadPool(MAX_CONCURRENT_CALLS);

    /**
     * Makes a client.
     *
     * @param named the operator addresses that were named, at least one
     * @param key the operator's key, if any
     * @param exchange makes the calls; closed with the client
     * @param bound how long asking all daemons may take
     */
    public FleetClient(
            final List<URI> named,
            final Optional<String> key,
            final OperatorHttpClient exchange,
            final Duration bound) {
        mNamed = List.copyOf(named);
        mKey = key;
        mExchange = exchange;
        mTotalTimeout = bound;
    }

    /**
     * Asks the first named daemon that answers for the addresses of all.
     *
     * @return its answer
     * @throws CliException if none answers
     */
    public OperatorResponse addresses() throws CliException {
        return new DaemonClient(mNamed, mKey, mExchange).get("/operator/addresses");
    }

    /** Returns the operator addresses that were named. */
    public List<URI> named() {
        return mNamed;
    }

    /**
     * Asks daemons.
     *
     * @param daemons their operator addresses
     * @param target path and query
     * @param taker takes what came of each, one at a time, on the calling thread
     */
    public void get(
            final Set<URI> daemons, final String target, final Consumer<DaemonResult> taker) {
        final CompletionService<DaemonResult> calls = new ExecutorCompletionService<>(mExecutor);
        daemons.forEach(daemon -> calls.submit(() -> call(daemon, target)));
        final Set<URI> waiting = new HashSet<>(daemons);
        final long end = System.nanoTime() + mTotalTimeout.toNanos();
        try {
            while (!waiting.isEmpty()) {
                final Future<DaemonResult> done =
                        calls.poll(end - System.nanoTime(), TimeUnit.NANOSECONDS);
                if (done == null) {
                    break;
                }
                final DaemonResult answer = done.get();
                waiting.remove(answer.daemon());
                taker.accept(answer);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException e) {
            throw new IllegalStateException("a call failed", e.getCause());
        }
        waiting.forEach(
                daemon -> taker.accept(failed(daemon, "not asked within " + mTotalTimeout)));
    }

    private DaemonResult call(final URI daemon, final String target) {
        try {
            final OperatorResponse answer = mExchange.call(daemon, Methods.GET, target, mKey, "");
            return new DaemonResult(daemon, Optional.of(answer), "");
        } catch (HttpCallException e) {
            return failed(daemon, e.getMessage());
        }
    }

    private static DaemonResult failed(final URI daemon, final String cause) {
        return new DaemonResult(daemon, Optional.empty(), cause);
    }

    @Override
    public void close() {
        mExecutor.shutdownNow();
        mExchange.close();
    }
}
