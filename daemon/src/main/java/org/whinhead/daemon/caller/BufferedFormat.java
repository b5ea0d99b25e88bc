package org.whinhead.daemon.caller;

import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;

/** Buffers the tokens and writes them as one JSON response. */
final class BufferedFormat implements AnswerFormat {

    private final ChatResponseJson mJson;
    private final StringBuilder mText = new StringBuilder();

    /**
     * Creates a format.
     *
     * @param json creates the JSON
     * @param deliveredText the beginning of the answer, as sent by a caller that resumes it
     */
    BufferedFormat(final ChatResponseJson json, final String deliveredText) {
        mJson = json;
        mText.append(deliveredText);
    }

    @Override
    public void write(final ReplyPart part, final ExchangeWriter writer) {
        if (part instanceof ReplyPart.Token token) {
            mText.append(token.text());
        } else if (part instanceof ReplyPart.NewTicket ticket) {
            writer.exchange().getResponseHeaders().put(CallerHeaders.TICKET, ticket.ticket());
        } else if (part instanceof ReplyPart.Completed completed) {
            final String response =
                    mJson.completion(mText.toString(), completed.completion()).toString();
            final byte[] body = response.getBytes(StandardCharsets.UTF_8);
            writer.exchange().getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
            writer.exchange().getResponseHeaders().put(Headers.CONTENT_LENGTH, body.length);
            writer.write(body);
            writer.end();
        } else if (part instanceof ReplyPart.Refused refused) {
            Refusals.write(writer, refused.refusal());
        } else if (part instanceof ReplyPart.HandedBack back) {
            writer.exchange().getResponseHeaders().put(CallerHeaders.TICKET, back.ticket());
            Refusals.write(writer, back.refusal());
        }
    }
}
