package org.whinhead.daemon.engine;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import org.whinhead.requests.AttemptEvent;
import org.whinhead.requests.AttemptFailure;

/** Hands a stream's KV cache to the receiving engine, the second half of a move. */
final class CacheImport extends WholeResponse {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAX_ANSWER_BYTES = 64 * 1024;

    CacheImport(final AttemptEvents events) {
        super(events, MAX_ANSWER_BYTES);
    }

    @Override
    void whole(final int status, final String contentType, final byte[] body) {
        if (status != StatusCodes.OK) {
            final AttemptFailure failure = Failures.ofStatus(status);
            events().failed(failure, "the import answered with status " + status);
            return;
        }
        final String streamId = streamId(body);
        if (streamId.isEmpty()) {
            events().failed(AttemptFailure.FAULTED, "the import named no stream");
            return;
        }
        events().last(new AttemptEvent.Moved(events().attempt(), streamId));
    }

    private static String streamId(final byte[] body) {
        try {
            return MAPPER.readTree(body).path("stream_id").asText("");
        } catch (final IOException e) {
            return "";
        }
    }
}
