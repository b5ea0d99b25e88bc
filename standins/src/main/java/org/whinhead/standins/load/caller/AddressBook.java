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
final class AddressBook {

    private static final String ADDRESSES_PATH = "/v1/addresses";
    private static final Duration LEAST_TIME_BETWEEN_QUESTIONS = Duration.ofMillis(200);
    private static final int OK = 200;

    private final HttpClient mClient;
    private final ObjectMapper mMapper;
    private final CallerConfig mConfig;
    private final String mKey;
    private final LongSupplier mNanos;
    private final Random mRandom;

    private List<URI> mAddresses = List.of();
    private long mKeepUntil;
    private long mAskedAt;
    private CompletableFuture<List<URI>> mQuestion;

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
    AddressBook(
            final HttpClient client,
            final ObjectMapper mapper,
            final CallerConfig config,
            final String key,
            final LongSupplier nanos,
            final long seed) {
        mClient = client;
        mMapper = mapper;
        mConfig = config;
        mKey = key;
        mNanos = nanos;
        mRandom = new Random(seed);
    }

    /** Returns the addresses, asked for anew if the last answer is too old. */
    synchronized CompletableFuture<List<URI>> addresses() {
        final boolean kept = !mAddresses.isEmpty() && mNanos.getAsLong() < mKeepUntil;
        return kept ? CompletableFuture.completedFuture(mAddresses) : ask();
    }

    /** Asks for the addresses anew, because none of those known could be used. */
    synchronized CompletableFuture<List<URI>> askAgain() {
        final boolean justAsked =
                mNanos.getAsLong() - mAskedAt < LEAST_TIME_BETWEEN_QUESTIONS.toNanos();
        return justAsked && !mAddresses.isEmpty()
                ? CompletableFuture.completedFuture(mAddresses)
                : ask();
    }

    private CompletableFuture<List<URI>> ask() {
        if (mQuestion != null) {
            return mQuestion;
        }
        mAskedAt = mNanos.getAsLong();
        final CompletableFuture<List<URI>> question = new CompletableFuture<>();
        mQuestion = question;
        askNext(candidates(), 0, question);
        return question;
    }

    private List<URI> candidates() {
        final List<URI> known = new ArrayList<>(mAddresses);
        Collections.shuffle(known, mRandom);
        final Set<URI> candidates = new LinkedHashSet<>(known);
        candidates.addAll(mConfig.targets());
        return List.copyOf(candidates);
    }

    private void askNext(
            final List<URI> candidates,
            final int number,
            final CompletableFuture<List<URI>> question) {
        if (number == candidates.size()) {
            settle(question, List.of(), Duration.ZERO);
            return;
        }
        final HttpRequest request =
                HttpRequest.newBuilder(candidates.get(number).resolve(ADDRESSES_PATH))
                        .header("Authorization", "Bearer " + mKey)
                        .timeout(mConfig.streamSilence())
                        .build();
        mClient.sendAsync(request, BodyHandlers.ofString())
                .whenComplete(
                        (response, error) -> {
                            if (error != null || !taken(response, question)) {
                                askNext(candidates, number + 1, question);
                            }
                        });
    }

    private boolean taken(
            final HttpResponse<String> response, final CompletableFuture<List<URI>> question) {
        if (response.statusCode() != OK) {
            return false;
        }
        try {
            final JsonNode body = mMapper.readTree(response.body());
            final List<URI> addresses = new ArrayList<>();
            body.path("addresses").forEach(one -> addresses.add(uri(one)));
            if (addresses.isEmpty()) {
                return false;
            }
            final Duration keep = Duration.ofMillis(body.path("keepMillis").asLong());
            settle(question, List.copyOf(addresses), keep);
            return true;
        } catch (final JsonProcessingException | IllegalArgumentException e) {
            return false;
        }
    }

    private static URI uri(final JsonNode address) {
        return URI.create(address.path("uri").asText());
    }

    private void settle(
            final CompletableFuture<List<URI>> question,
            final List<URI> addresses,
            final Duration keep) {
        final List<URI> known;
        synchronized (this) {
            if (!addresses.isEmpty()) {
                mAddresses = addresses;
                mKeepUntil = mNanos.getAsLong() + keep.toNanos();
            }
            mQuestion = null;
            known = mAddresses;
        }
        question.complete(known);
    }
}
