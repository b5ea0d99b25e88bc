package org.whinhead.daemon.caller;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import org.whinhead.requests.PlainAnswer;

/** Writes the answer of a plain service unchanged. */
final class PlainFormat implements AnswerFormat {

    @Override
    public void write(final ReplyPart part, final ExchangeWriter writer) {
        if (part instanceof ReplyPart.Answered answered) {
            send(answered.answer(), writer);
        } else if (part instanceof ReplyPart.Refused refused) {
            Refusals.write(writer, refused.refusal());
        }
    }

    private static void send(final PlainAnswer answer, final ExchangeWriter writer) {
        final HeaderMap headers = writer.exchange().getResponseHeaders();
        writer.exchange().setStatusCode(answer.status());
        if (!answer.contentType().isEmpty()) {
            headers.put(Headers.CONTENT_TYPE, answer.contentType());
        }
        headers.put(Headers.CONTENT_LENGTH, answer.body().length);
        writer.write(answer.body());
        writer.end();
    }
}
