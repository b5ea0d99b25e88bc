package org.whinhead.standins.load.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.http.HttpClient;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadFactory;
import java.util.function.LongSupplier;
import org.whinhead.standins.load.mix.LoadCustomer;
import org.whinhead.standins.load.mix.PlannedRequest;
import org.whinhead.standins.load.result.RequestResult;

/** Sends planned requests to the daemons; requests run concurrently without a limit. */
public final class LoadClient implements AutoCloseable {

    private static final int CLIENT_THREADS = 4;

    private final ExecutorService mClientThreads;
    private final ScheduledExecutorService mTimers;
    private final CallContext mContext;
    private final long mSeed;
    private final Map<LoadCustomer, AddressCache> mAddressCaches = new ConcurrentHashMap<>();

    /**
     * Creates a client and its threads.
     *
     * @param config addresses and time limits
     * @param observer receives measurements and results
     * @param nanoClock the clock, in nanoseconds from any origin
     * @param seed the seed of the selection of daemons
     */
    public LoadClient(
            final CallerConfig config,
            final CallObserver observer,
            final LongSupplier nanoClock,
            final long seed) {
        this(
                config,
                observer,
                nanoClock,
                seed,
                Executors.newSingleThreadScheduledExecutor(daemonThreads("load-timers")));
    }

    /** Creates a client with the given timers, so that a test can control the time. */
    LoadClient(
            final CallerConfig config,
            final CallObserver observer,
            final LongSupplier nanoClock,
            final long seed,
            final ScheduledExecutorService timers) {
        Objects.requireNonNull(config, "config");
        mClientThreads = Executors.newFixedThreadPool(CLIENT_THREADS, daemonThreads("load-client"));
        mTimers = timers;
        final HttpClient client =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(config.connectTimeout())
                        .executor(mClientThreads)
                        .build();
        mContext =
                new CallContext(client, new ObjectMapper(), mTimers, nanoClock, config, observer);
        mSeed = seed;
    }

    /**
     * Sends a request and retries it until it ends.
     *
     * @param request the request
     * @param startedAt the intended start, in nanoseconds of the same clock
     * @return completes with the result, shortly after the deadline at the latest
     */
    public CompletableFuture<RequestResult> call(
            final PlannedRequest request, final long startedAt) {
        final AddressCache addresses =
                mAddressCaches.computeIfAbsent(request.customer(), this::newAddressCache);
        return new Call(mContext, addresses, request, startedAt).start();
    }

    @Override
    public void close() {
        mTimers.shutdownNow();
        mClientThreads.shutdownNow();
    }

    private AddressCache newAddressCache(final LoadCustomer customer) {
        final long seed = mSeed + customer.name().hashCode();
        return new AddressCache(
                mContext.client(),
                mContext.mapper(),
                mContext.config(),
                customer.key(),
                mContext.nanoClock(),
                seed);
    }

    private static ThreadFactory daemonThreads(final String name) {
        return task -> {
            final Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        };
    }
}
