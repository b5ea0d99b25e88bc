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

/** Appends to and reads from the streams of the log service, with timeouts and size limits. */
public final class LogClient {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String JSON = "application/json";
    private static final int MAX_APPEND_RESPONSE_BYTES = 64 * 1024;
    private static final int MAX_READ_RESPONSE_BYTES = 16 * 1024 * 1024;

    private final HttpCaller mCaller;
    private final URI mBase;
    private final Duration mTimeout;
    private final BufferedHttpClient mAppendClient;

    /**
     * Creates a client.
     *
     * @param caller the HTTP caller
     * @param base the base address of the log service
     * @param timeout the timeout of a call, in addition to the wait that a read requests
     */
    public LogClient(final HttpCaller caller, final URI base, final Duration timeout) {
        mCaller = Objects.requireNonNull(caller, "caller");
        mBase = Objects.requireNonNull(base, "base");
        mTimeout = Objects.requireNonNull(timeout, "timeout");
        mAppendClient = new BufferedHttpClient(caller, timeout, MAX_APPEND_RESPONSE_BYTES);
    }

    /**
     * Appends records in one call; their offsets are consecutive.
     *
     * @param stream the stream
     * @param records the bytes of each record
     * @return the result, completed on an IO thread; never completed exceptionally
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
        return mAppendClient
                .send(request)
                .thenApply(LogClient::parseAppend)
                .exceptionally(LogClient::toAppendResult);
    }

    private static AppendResult parseAppend(final BufferedHttpResponse response) {
        final int status = response.status();
        if (status == StatusCodes.OK) {
            return parseFirstOffset(response.body());
        }
        final String reason = "log service returned status " + status;
        // The effect of a 5xx other than 503 is unknown; a gateway on the path may have sent it.
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
                    : new AppendResult.Unknown("append response has no firstOffset");
        } catch (final IOException e) {
            return new AppendResult.Unknown("append response is not JSON");
        }
    }

    private static AppendResult toAppendResult(final Throwable thrown) {
        final boolean mayHaveArrived = failure(thrown) == null || failure(thrown).mayHaveArrived();
        final String reason = String.valueOf(thrown.getMessage());
        return mayHaveArrived
                ? new AppendResult.Unknown(reason)
                : new AppendResult.NotAppended(reason, Duration.ZERO);
    }

    private static HttpFailure failure(final Throwable thrown) {
        final Throwable cause = thrown instanceof CompletionException ? thrown.getCause() : thrown;
        return cause instanceof CallFailedException failed ? failed.failure() : null;
    }

    /**
     * Reads records from a stream.
     *
     * @param stream the stream
     * @param from the first offset to read
     * @param max the maximum number of records
     * @param wait the time that the log service waits for a record if there is none
     * @return the result, completed on an IO thread; never completed exceptionally
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
                    "log service returned status " + status,
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
                    "invalid read response: " + e.getMessage(), Duration.ZERO, false);
        }
    }

    private static List<StoredRecord> parseRecords(final JsonNode root) throws IOException {
        final List<StoredRecord> records = new ArrayList<>();
        for (final JsonNode record : root.path("records")) {
            records.add(
                    new StoredRecord(
                            requireNumber(record, "offset"),
                            Instant.parse(record.path("at").asText()),
                            Base64.getDecoder().decode(record.path("data").asText())));
        }
        return records;
    }

    private static long requireNumber(final JsonNode node, final String field) throws IOException {
        final JsonNode number = node.path(field);
        if (!number.isIntegralNumber()) {
            throw new IOException("no integer in field " + field);
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
