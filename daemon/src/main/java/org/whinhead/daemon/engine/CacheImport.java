package org.whinhead.daemon.engine;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import org.whinhead.requests.AttemptEvent;
import org.whinhead.requests.AttemptFailure;

/** Handles the response to a KV cache import at the receiving engine, which ends a move. */
final class CacheImport extends BufferedResponse {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_ANSWER_BYTES = 64 * 1024;

    CacheImport(final AttemptEventPublisher publisher) {
        super(publisher, MAX_ANSWER_BYTES);
    }

    @Override
    void handleResponse(final int status, final String contentType, final byte[] body) {
        if (status != StatusCodes.OK) {
            final AttemptFailure failure = AttemptFailures.ofStatus(status);
            publisher().publishFailed(failure, "the import answered with status " + status);
            return;
        }
        final String streamId = streamId(body);
        if (streamId.isEmpty()) {
            publisher().publishFailed(AttemptFailure.FAULTED, "the import named no stream");
            return;
        }
        publisher().publishLast(new AttemptEvent.Moved(publisher().attempt(), streamId));
    }

    private static String streamId(final byte[] body) {
        try {
            return MAPPER.readTree(body).path("stream_id").asText("");
        } catch (final IOException e) {
            return "";
        }
    }
}
