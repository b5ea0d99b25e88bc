package org.whinhead.clients.cloud;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletionStage;
import org.whinhead.api.model.VmId;
import org.whinhead.clients.http.BufferedHttpClient;
import org.whinhead.clients.http.BufferedHttpResponse;
import org.whinhead.clients.http.HttpCaller;
import org.whinhead.clients.http.OutgoingRequest;

/** Reads reclaim notices from the cloud API by long polling. */
public final class NoticeClient {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration WAIT = Duration.ofSeconds(5);
    private static final Duration TIMEOUT = WAIT.plusSeconds(3);
    private static final int MAX_RESPONSE_BYTES = 1024 * 1024;

    private final BufferedHttpClient mClient;
    private final URI mBase;

    /**
     * Creates a client.
     *
     * @param caller the HTTP caller
     * @param base the base address of the cloud API
     */
    public NoticeClient(final HttpCaller caller, final URI base) {
        mClient = new BufferedHttpClient(caller, TIMEOUT, MAX_RESPONSE_BYTES);
        mBase = base;
    }

    /**
     * Reads notices. If there is none, the cloud waits up to 5 seconds for one.
     *
     * @param after the position to read from: {@link NoticePage#next} of the last page, or 0 at
     *     first
     * @return the notices; fails with an {@link IOException} if the call fails or the body is
     *     invalid
     */
    public CompletionStage<NoticePage> read(final long after) {
        final String path = "/cloud/notices?after=" + after + "&waitMillis=" + WAIT.toMillis();
        return mClient.send(OutgoingRequest.to(mBase, path).build()).thenApply(NoticeClient::parse);
    }

    private static NoticePage parse(final BufferedHttpResponse response) {
        try {
            if (response.status() != StatusCodes.OK) {
                throw new IOException("cloud API returned status " + response.status());
            }
            final JsonNode root = MAPPER.readTree(response.body());
            final List<ReclaimNotice> notices = new ArrayList<>();
            for (final JsonNode notice : root.path("notices")) {
                notices.add(
                        new ReclaimNotice(
                                notice.path("sequence").asLong(),
                                new VmId(notice.path("vm").asText()),
                                Instant.parse(notice.path("goneBy").asText())));
            }
            return new NoticePage(root.path("next").asLong(), notices);
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        } catch (final IllegalArgumentException | DateTimeException e) {
            throw new UncheckedIOException(new IOException("invalid reclaim notices", e));
        }
    }
}
