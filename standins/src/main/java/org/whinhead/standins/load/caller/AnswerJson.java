package org.whinhead.standins.load.caller;

import com.fasterxml.jackson.databind.JsonNode;

/** Extracts the text from the JSON of a model's answer. */
final class AnswerJson {

    /** The data of the last event of a stream. */
    static final String END_OF_STREAM = "[DONE]";

    private AnswerJson() {}

    /** Returns the token of a stream event, or an empty string if the event carries none. */
    static String token(final JsonNode data) {
        return data.path("choices").path(0).path("delta").path("content").asText("");
    }

    /** Returns the text of an answer that is not streamed. */
    static String content(final JsonNode body) {
        return body.path("choices").path(0).path("message").path("content").asText("");
    }
}
