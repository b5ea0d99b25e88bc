package org.whinhead.clients.log;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.whinhead.clients.http.BufferedHttpClient;
import org.whinhead.clients.http.BufferedHttpResponse;
import org.whinhead.clients.http.CallFailedException;
import org.whinhead.clients.http.HttpCaller;
import org.whinhead.clients.http.HttpFailure;
import org.whinhead.clients.http.OutgoingRequest;

/** Appends to and reads from the streams of the log service, within bounds of time and size. */
public final class LogClient {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String JSON = "application/json";
    private static final int MAX_APPEND_RESPONSE_BYTES = 64 * 1024;
    private static final int MAX_READ_RESPONSE_BYTES = 16 * 1024 * 1024;

    private final HttpCaller mCaller;
    private final URI mBase;
    private final Duration mTimeout;
    private final BufferedHttpClient mAppends;

    /**
     * Makes a client.
     *
     * @param caller makes the calls
     * @param base where the log service is
     * @param timeout how long the log may take to answer, beside the wait that a read asks for
     */
    public LogClient(final HttpCaller caller, final URI base, final Duration timeout) {
        mCaller = Objects.requireNonNull(caller, "caller");
        mBase = Objects.requireNonNull(base, "base");
        mTimeout = Objects.requireNonNull(timeout, "timeout");
        mAppends = new BufferedHttpClient(caller, timeout, MAX_APPEND_RESPONSE_BYTES);
    }

    /**
     * Appends records with one call, so that they get consecutive offsets.
     *
     * @param stream the stream
     * @param records the records' bytes
     * @return how it ended, on an IO thread; it never fails
     */
    public CompletionStage<AppendResult> append(final String stream, final List<byte[]> records) {
        final ObjectNode body = MAPPER.createObjectNode();
        final ArrayNode array = body.putArray("records");
        records.forEach(record -> array.add(Base64.getEncoder().encodeToString(record)));
        final OutgoingRequest request =
                OutgoingRequest.to(mBase, "/log/" + stream + "/append")
                        .method(Methods.POST)
                        .body(body.toString().getBytes(StandardCharsets.UTF_8), JSON)
                        .build();
        return mAppends.send(request)
                .thenApply(LogClient::parseAppend)
                .exceptionally(LogClient::toAppendResult);
    }

    private static AppendResult parseAppend(final BufferedHttpResponse response) {
        final int status = response.status();
        if (status == StatusCodes.OK) {
            return parseFirstOffset(response.body());
        }
        final String reason = "the log answered with status " + status;
        // A 5xx other than 503 says nothing of the effect, for example from a gateway on the way.
        if (status >= StatusCodes.INTERNAL_SERVER_ERROR
                && status != StatusCodes.SERVICE_UNAVAILABLE) {
            return new AppendResult.Unknown(reason);
        }
        return new AppendResult.NotAppended(
                reason, Duration.ofSeconds(response.retryAfterSeconds()));
    }

    private static AppendResult parseFirstOffset(final byte[] body) {
        try {
            final JsonNode offset = MAPPER.readTree(body).path("firstOffset");
            return offset.isIntegralNumber()
                    ? new AppendResult.Appended(offset.longValue())
                    : new AppendResult.Unknown("the log's answer has no offset");
        } catch (final IOException e) {
            return new AppendResult.Unknown("the log's answer is not JSON");
        }
    }

    private static AppendResult toAppendResult(final Throwable thrown) {
        final boolean arrived = failure(thrown) == null || failure(thrown).mayHaveArrived();
        final String reason = String.valueOf(thrown.getMessage());
        return arrived
                ? new AppendResult.Unknown(reason)
                : new AppendResult.NotAppended(reason, Duration.ZERO);
    }

    private static HttpFailure failure(final Throwable thrown) {
        final Throwable cause = thrown instanceof CompletionException ? thrown.getCause() : thrown;
        return cause instanceof CallFailedException failed ? failed.failure() : null;
    }

    /**
     * Reads records.
     *
     * @param stream the stream
     * @param from the first offset wanted
     * @param max the most records wanted
     * @param wait how long the log may wait for a record
     * @return how it ended, on an IO thread; it never fails
     */
    public CompletionStage<ReadResult> read(
            final String stream, final long from, final int max, final Duration wait) {
        final String query = "?from=" + from + "&max=" + max + "&waitMillis=" + wait.toMillis();
        final OutgoingRequest request =
                OutgoingRequest.to(mBase, "/log/" + stream + "/records" + query)
                        .silenceTimeout(wait.plus(mTimeout))
                        .build();
        return new BufferedHttpClient(mCaller, wait.plus(mTimeout), MAX_READ_RESPONSE_BYTES)
                .send(request)
                .thenApply(LogClient::parseRead)
                .exceptionally(LogClient::toReadResult);
    }

    private static ReadResult parseRead(final BufferedHttpResponse response) {
        final int status = response.status();
        if (status != StatusCodes.OK && status != StatusCodes.GONE) {
            return new ReadResult.Unavailable(
                    "the log answered with status " + status,
                    Duration.ofSeconds(response.retryAfterSeconds()),
                    false);
        }
        try {
            final JsonNode root = MAPPER.readTree(response.body());
            final long oldest = requireNumber(root, "oldest");
            return status == StatusCodes.GONE
                    ? new ReadResult.Expired(oldest)
                    : new ReadResult.Records(
                            oldest, requireNumber(root, "next"), parseRecords(root));
        } catch (final IOException | IllegalArgumentException | DateTimeException e) {
            return new ReadResult.Unavailable(
                    "the log's answer is not understood: " + e.getMessage(), Duration.ZERO, false);
        }
    }

    private static List<StoredRecord> parseRecords(final JsonNode root) throws IOException {
        final List<StoredRecord> entries = new ArrayList<>();
        for (final JsonNode record : root.path("records")) {
            entries.add(
                    new StoredRecord(
                            requireNumber(record, "offset"),
                            Instant.parse(record.path("at").asText()),
                            Base64.getDecoder().decode(record.path("data").asText())));
        }
        return entries;
    }

    private static long requireNumber(final JsonNode node, final String field) throws IOException {
        final JsonNode number = node.path(field);
        if (!number.isIntegralNumber()) {
            throw new IOException("no number in " + field);
        }
        return number.longValue();
    }

    private static ReadResult toReadResult(final Throwable thrown) {
        return new ReadResult.Unavailable(
                String.valueOf(thrown.getMessage()),
                Duration.ZERO,
                failure(thrown) == HttpFailure.RESPONSE_TOO_LARGE);
    }
}
