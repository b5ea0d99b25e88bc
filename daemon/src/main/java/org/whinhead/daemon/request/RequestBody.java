package org.whinhead.daemon.request;

import java.util.Objects;
import org.whinhead.api.Arguments;

/** The body of a request, from which the bodies sent to endpoints are created. */
public sealed interface RequestBody {

    /**
     * A chat request.
     *
     * @param encoder encodes the body of each attempt
     */
    record Chat(ChatEncoder encoder) implements RequestBody {
        /** Creates a chat request. */
        public Chat {
            Objects.requireNonNull(encoder, "encoder");
        }
    }

    /**
     * A call of a plain service.
     *
     * @param method the HTTP method
     * @param path the path and query in the service
     * @param contentType the body's media type
     * @param idempotencyKey the key by which the service recognizes repeats
     * @param body the body; not copied
     */
    record Plain(String method, String path, String contentType, String idempotencyKey, byte[] body)
            implements RequestBody {
        /** Creates a call. */
        public Plain {
            Arguments.requireText(method, "method");
            Arguments.requireText(path, "path");
            Objects.requireNonNull(contentType, "contentType");
            Arguments.requireText(idempotencyKey, "idempotencyKey");
            Objects.requireNonNull(body, "body");
        }
    }

    /** Encodes the bodies of a chat request's attempts. */
    @FunctionalInterface
    interface ChatEncoder {
        /**
         * Encodes the body of one attempt.
         *
         * @param deliveredText text that the caller already has; empty to start over
         * @param deliveredTokens the number of tokens of that text
         * @return the encoded body
         */
        byte[] encode(String deliveredText, long deliveredTokens);
    }
}
