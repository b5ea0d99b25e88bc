package org.whinhead.standins.load.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

/** Caches the daemon addresses of one customer for as long as the daemon's answer allows. */
final class AddressCache {

    private static final String ADDRESSES_PATH = "/v1/addresses";
    private static final Duration MIN_QUERY_INTERVAL = Duration.ofMillis(200);
    private static final int OK = 200;

    private final HttpClient mClient;
    private final ObjectMapper mMapper;
    private final CallerConfig mConfig;
    private final String mCustomerKey;
    private final LongSupplier mNanoClock;
    private final Random mRandom;

    private List<URI> mAddresses = List.of();
    private long mExpiresAt;
    private long mLastQueryAt;
    private CompletableFuture<List<URI>> mPendingQuery;

    /**
     * Creates an empty cache.
     *
     * @param client sends the queries
     * @param mapper parses the answers
     * @param config the first targets and the time limits
     * @param customerKey the customer's API key
     * @param nanoClock the clock, in nanoseconds from any origin
     * @param seed the seed of the order in which daemons are queried
     */
    AddressCache(
            final HttpClient client,
            final ObjectMapper mapper,
            final CallerConfig config,
            final String customerKey,
            final LongSupplier nanoClock,
            final long seed) {
        mClient = client;
        mMapper = mapper;
        mConfig = config;
        mCustomerKey = customerKey;
        mNanoClock = nanoClock;
        mRandom = new Random(seed);
    }

    /** Returns the cached addresses, or queries them if there are none or they expired. */
    synchronized CompletableFuture<List<URI>> addresses() {
        final boolean isCached = !mAddresses.isEmpty() && mNanoClock.getAsLong() < mExpiresAt;
        return isCached ? CompletableFuture.completedFuture(mAddresses) : query();
    }

    /**
     * Queries the addresses again after no cached address was usable, unless the last query is
     * recent.
     */
    synchronized CompletableFuture<List<URI>> refresh() {
        final boolean isRecent =
                mNanoClock.getAsLong() - mLastQueryAt < MIN_QUERY_INTERVAL.toNanos();
        return isRecent && !mAddresses.isEmpty()
                ? CompletableFuture.completedFuture(mAddresses)
                : query();
    }

    private CompletableFuture<List<URI>> query() {
        if (mPendingQuery != null) {
            return mPendingQuery;
        }
        mLastQueryAt = mNanoClock.getAsLong();
        final CompletableFuture<List<URI>> pending = new CompletableFuture<>();
        mPendingQuery = pending;
        queryCandidate(candidates(), 0, pending);
        return pending;
    }

    private List<URI> candidates() {
        final List<URI> current = new ArrayList<>(mAddresses);
        Collections.shuffle(current, mRandom);
        final Set<URI> candidates = new LinkedHashSet<>(current);
        candidates.addAll(mConfig.targets());
        return List.copyOf(candidates);
    }

    private void queryCandidate(
            final List<URI> candidates,
            final int index,
            final CompletableFuture<List<URI>> pending) {
        if (index == candidates.size()) {
            completeQuery(pending, List.of(), Duration.ZERO);
            return;
        }
        final HttpRequest request =
                HttpRequest.newBuilder(candidates.get(index).resolve(ADDRESSES_PATH))
                        .header("Authorization", "Bearer " + mCustomerKey)
                        .timeout(mConfig.streamSilence())
                        .build();
        mClient.sendAsync(request, BodyHandlers.ofString())
                .whenComplete(
                        (response, error) -> {
                            if (error != null || !acceptResponse(response, pending)) {
                                queryCandidate(candidates, index + 1, pending);
                            }
                        });
    }

    private boolean acceptResponse(
            final HttpResponse<String> response, final CompletableFuture<List<URI>> pending) {
        if (response.statusCode() != OK) {
            return false;
        }
        try {
            final JsonNode body = mMapper.readTree(response.body());
            final List<URI> addresses = new ArrayList<>();
            body.path("addresses").forEach(address -> addresses.add(parseUri(address)));
            if (addresses.isEmpty()) {
                return false;
            }
            final Duration timeToLive = Duration.ofMillis(body.path("keepMillis").asLong());
            completeQuery(pending, List.copyOf(addresses), timeToLive);
            return true;
        } catch (final JsonProcessingException | IllegalArgumentException e) {
            return false;
        }
    }

    private static URI parseUri(final JsonNode address) {
        return URI.create(address.path("uri").asText());
    }

    private void completeQuery(
            final CompletableFuture<List<URI>> pending,
            final List<URI> addresses,
            final Duration timeToLive) {
        final List<URI> current;
        synchronized (this) {
            if (!addresses.isEmpty()) {
                mAddresses = addresses;
                mExpiresAt = mNanoClock.getAsLong() + timeToLive.toNanos();
            }
            mPendingQuery = null;
            current = mAddresses;
        }
        pending.complete(current);
    }
}
