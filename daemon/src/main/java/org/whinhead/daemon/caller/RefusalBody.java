package org.whinhead.daemon.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import org.whinhead.api.verdict.Refusal;

/** Creates the JSON body of a refusal. */
final class RefusalBody {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final long MILLIS_PER_SECOND = 1000;

    private RefusalBody() {}

    static byte[] of(final Refusal refusal) {
        final ObjectNode root = MAPPER.createObjectNode();
        final ObjectNode error = root.putObject("error");
        error.put("code", refusal.code().wireName());
        error.put("verdict", refusal.verdict().wireName());
        error.put("message", refusal.message());
        refusal.retryAfter().ifPresent(after -> error.put("retryAfterMillis", after.toMillis()));
        try {
            return MAPPER.writeValueAsBytes(root);
        } catch (final JsonProcessingException e) {
            throw new IllegalStateException("a tree can always be written", e);
        }
    }

    /** Returns a wait in whole seconds, rounded up so that callers don't retry too early. */
    static long roundUpToSeconds(final Duration wait) {
        return (wait.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
    }
}
