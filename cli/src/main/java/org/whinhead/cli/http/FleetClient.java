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
 * Sends the same request to all daemons, with limited concurrency.
 *
 * <p>Each call has a timeout, and all calls together have a total timeout, after which the results
 * so far are kept, so that a fleet with many unresponsive daemons does not block a command.
 */
public final class FleetClient implements AutoCloseable {

    private static final int MAX_CONCURRENT_CALLS = 16;

    private final List<URI> mNamed;
    private final Optional<String> mKey;
    private final OperatorHttpClient mHttpClient;
    private final Duration mTotalTimeout;
    private final ExecutorService mExecutor = Executors.newFixedThreadPool(MAX_CONCURRENT_CALLS);

    /**
     * Creates a client.
     *
     * @param named the operator addresses given by the operator, at least one
     * @param key the operator's key, if any
     * @param httpClient the HTTP client, closed with this client
     * @param totalTimeout the timeout of all calls together
     */
    public FleetClient(
            final List<URI> named,
            final Optional<String> key,
            final OperatorHttpClient httpClient,
            final Duration totalTimeout) {
        mNamed = List.copyOf(named);
        mKey = key;
        mHttpClient = httpClient;
        mTotalTimeout = totalTimeout;
    }

    /**
     * Reads the addresses of all daemons from the first named daemon that responds.
     *
     * @return the response
     * @throws CliException if no daemon responds
     */
    public OperatorResponse addresses() throws CliException {
        return new DaemonClient(mNamed, mKey, mHttpClient).get("/operator/addresses");
    }

    /** Returns the operator addresses given by the operator. */
    public List<URI> named() {
        return mNamed;
    }

    /**
     * Sends a GET request to several daemons.
     *
     * @param daemons the operator addresses of the daemons
     * @param target the path and query
     * @param handler receives the result of each daemon, one at a time, on the calling thread
     */
    public void get(
            final Set<URI> daemons, final String target, final Consumer<DaemonResult> handler) {
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
                final DaemonResult result = done.get();
                waiting.remove(result.daemon());
                handler.accept(result);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException e) {
            throw new IllegalStateException("unexpected failure of a call", e.getCause());
        }
        waiting.forEach(
                daemon ->
                        handler.accept(
                                failed(
                                        daemon,
                                        "no response within the total timeout of "
                                                + mTotalTimeout)));
    }

    private DaemonResult call(final URI daemon, final String target) {
        try {
            final OperatorResponse response =
                    mHttpClient.call(daemon, Methods.GET, target, mKey, "");
            return new DaemonResult(daemon, Optional.of(response), "");
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
        mHttpClient.close();
    }
}
