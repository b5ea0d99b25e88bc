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

/**
 * The addresses that one customer's callers may connect to, kept for as long as the answer says.
 */
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
     * Makes an empty book.
     *
     * @param client sends the questions
     * @param mapper the JSON library
     * @param config how callers behave
     * @param key the customer's key
     * @param nanos the time in nanoseconds, from any origin
     * @param seed the seed of the order in which daemons are asked
     */
    AddressCache(
            final HttpClient client,
            final ObjectMapper mapper,
            final CallerConfig config,
            final String key,
            final LongSupplier nanos,
            final long seed) {
        mClient = client;
        mMapper = mapper;
        mConfig = config;
        mCustomerKey = key;
        mNanoClock = nanos;
        mRandom = new Random(seed);
    }

    /** Returns the addresses, asked for anew if the last answer is too old. */
    synchronized CompletableFuture<List<URI>> addresses() {
        final boolean kept = !mAddresses.isEmpty() && mNanoClock.getAsLong() < mExpiresAt;
        return kept ? CompletableFuture.completedFuture(mAddresses) : query();
    }

    /** Asks for the addresses anew, because none of those known could be used. */
    synchronized CompletableFuture<List<URI>> refresh() {
        final boolean justAsked =
                mNanoClock.getAsLong() - mLastQueryAt < MIN_QUERY_INTERVAL.toNanos();
        return justAsked && !mAddresses.isEmpty()
                ? CompletableFuture.completedFuture(mAddresses)
                : query();
    }

    private CompletableFuture<List<URI>> query() {
        if (mPendingQuery != null) {
            return mPendingQuery;
        }
        mLastQueryAt = mNanoClock.getAsLong();
        final CompletableFuture<List<URI>> question = new CompletableFuture<>();
        mPendingQuery = question;
        queryCandidate(candidates(), 0, question);
        return question;
    }

    private List<URI> candidates() {
        final List<URI> known = new ArrayList<>(mAddresses);
        Collections.shuffle(known, mRandom);
        final Set<URI> candidates = new LinkedHashSet<>(known);
        candidates.addAll(mConfig.targets());
        return List.copyOf(candidates);
    }

    private void queryCandidate(
            final List<URI> candidates,
            final int number,
            final CompletableFuture<List<URI>> question) {
        if (number == candidates.size()) {
            completeQuery(question, List.of(), Duration.ZERO);
            return;
        }
        final HttpRequest request =
                HttpRequest.newBuilder(candidates.get(number).resolve(ADDRESSES_PATH))
                        .header("Authorization", "Bearer " + mCustomerKey)
                        .timeout(mConfig.streamIdleTimeout())
                        .build();
        mClient.sendAsync(request, BodyHandlers.ofString())
                .whenComplete(
                        (response, error) -> {
                            if (error != null || !acceptResponse(response, question)) {
                                queryCandidate(candidates, number + 1, question);
                            }
                        });
    }

    private boolean acceptResponse(
            final HttpResponse<String> response, final CompletableFuture<List<URI>> question) {
        if (response.statusCode() != OK) {
            return false;
        }
        try {
            final JsonNode body = mMapper.readTree(response.body());
            final List<URI> addresses = new ArrayList<>();
            body.path("addresses").forEach(one -> addresses.add(parseUri(one)));
            if (addresses.isEmpty()) {
                return false;
            }
            final Duration keep = Duration.ofMillis(body.path("keepMillis").asLong());
            completeQuery(question, List.copyOf(addresses), keep);
            return true;
        } catch (final JsonProcessingException | IllegalArgumentException e) {
            return false;
        }
    }

    private static URI parseUri(final JsonNode address) {
        return URI.create(address.path("uri").asText());
    }

    private void completeQuery(
            final CompletableFuture<List<URI>> question,
            final List<URI> addresses,
            final Duration keep) {
        final List<URI> known;
        synchronized (this) {
            if (!addresses.isEmpty()) {
                mAddresses = addresses;
                mExpiresAt = mNanoClock.getAsLong() + keep.toNanos();
            }
            mPendingQuery = null;
            known = mAddresses;
        }
        question.complete(known);
    }
}
