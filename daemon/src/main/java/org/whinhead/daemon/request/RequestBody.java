package org.whinhead.daemon.request;

import java.util.Objects;
import org.whinhead.api.Arguments;

/** What an endpoint is sent of a request. */
public sealed interface RequestBody {

    /**
     * A chat request.
     *
     * @param encoder makes the body that an engine is sent
     */
    record Chat(ChatEncoder encoder) implements RequestBody {
        /** Checks the encoder. */
        public Chat {
            Objects.requireNonNull(encoder, "encoder");
        }
    }

    /**
     * A call of a plain service.
     *
     * @param method the HTTP method
     * @param path the path and query at the service
     * @param contentType the body's media type
     * @param idempotencyKey the key that names the call to the service
     * @param body the body; not copied
     */
    record Plain(String method, String path, String contentType, String idempotencyKey, byte[] body)
            implements RequestBody {
        /** Checks every part. */
        public Plain {
            Arguments.requireText(method, "method");
            Arguments.requireText(path, "path");
            Objects.requireNonNull(contentType, "contentType");
            Arguments.requireText(idempotencyKey, "idempotencyKey");
            Objects.requireNonNull(body, "body");
        }
    }

    /** Makes the bodies of a chat request's attempts. */
    @FunctionalInterface
    interface ChatEncoder {
        /**
         * Makes the body of one attempt.
         *
         * @param deliveredText text that the caller already has; empty to start over
         * @param deliveredTokens how many tokens that text has
         * @return the body
         */
        byte[] encode(String deliveredText, long deliveredTokens);
    }
}
