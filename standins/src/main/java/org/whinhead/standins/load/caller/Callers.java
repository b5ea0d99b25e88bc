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

/** Sends requests as the callers of each customer would; any number may be in progress. */
public final class Callers implements AutoCloseable {

    private static final int CLIENT_THREADS = 4;

    private final ExecutorService mClientThreads;
    private final ScheduledExecutorService mTimers;
    private final CallTools mTools;
    private final long mSeed;
    private final Map<LoadCustomer, AddressBook> mBooks = new ConcurrentHashMap<>();

    /**
     * Starts the threads.
     *
     * @param config how callers behave
     * @param observer is told what callers see
     * @param nanos the time in nanoseconds, from any origin
     * @param seed the seed of choices among daemons
     */
    public Callers(
            final CallerConfig config,
            final CallObserver observer,
            final LongSupplier nanos,
            final long seed) {
        this(
                config,
                observer,
                nanos,
                seed,
                Executors.newSingleThreadScheduledExecutor(named("load-timers")));
    }

    /** Takes the timers too, so that a test can move the time. */
    Callers(
            final CallerConfig config,
            final CallObserver observer,
            final LongSupplier nanos,
            final long seed,
            final ScheduledExecutorService timers) {
        Objects.requireNonNull(config, "config");
        mClientThreads = Executors.newFixedThreadPool(CLIENT_THREADS, named("load-client"));
        mTimers = timers;
        final HttpClient client =
                HttpClient.newBuilder()
                        .version(HttpClient.Version.HTTP_1_1)
                        .connectTimeout(config.connectTimeout())
                        .executor(mClientThreads)
                        .build();
        mTools = new CallTools(client, new ObjectMapper(), mTimers, nanos, config, observer);
        mSeed = seed;
    }

    /**
     * Sends a request and follows it to its end.
     *
     * @param request the request
     * @param startedAt when it was meant to start, in nanoseconds of the same clock
     * @return completes with what became of it, at its deadline at the latest
     */
    public CompletableFuture<RequestResult> call(
            final PlannedRequest request, final long startedAt) {
        final AddressBook book = mBooks.computeIfAbsent(request.customer(), this::newBook);
        return new Call(mTools, book, request, startedAt).begin();
    }

    @Override
    public void close() {
        mTimers.shutdownNow();
        mClientThreads.shutdownNow();
    }

    private AddressBook newBook(final LoadCustomer customer) {
        final long seed = mSeed + customer.name().hashCode();
        return new AddressBook(
                mTools.client(),
                mTools.mapper(),
                mTools.config(),
                customer.key(),
                mTools.nanos(),
                seed);
    }

    private static ThreadFactory named(final String name) {
        return task -> {
            final Thread thread = new Thread(task, name);
            thread.setDaemon(true);
            return thread;
        };
    }
}
