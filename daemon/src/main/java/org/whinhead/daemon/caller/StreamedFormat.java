package org.whinhead.daemon.caller;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.nio.charset.StandardCharsets;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.requests.Completion;

/** Writes each token as a server-sent event as it arrives. */
final class StreamedFormat implements AnswerFormat {

    private static final String EVENT_STREAM = "text/event-stream";
    private static final String DONE = "data: [DONE]\n\n";

    private final ChatResponseJson mJson;
    private final StringBuilder mBatch = new StringBuilder();
    private String mTicket = "";

    StreamedFormat(final ChatResponseJson json) {
        mJson = json;
    }

    @Override
    public void write(final ReplyPart part, final ExchangeWriter writer) {
        if (part instanceof ReplyPart.Token token) {
            startIfNeeded(writer);
            mBatch.append("id: ").append(token.index()).append('\n');
            appendData(mJson.tokenChunk(token.text()));
        } else if (part instanceof ReplyPart.NewTicket ticket) {
            sendTicket(ticket.ticket(), writer);
        } else if (part instanceof ReplyPart.Completed completed) {
            complete(completed.completion(), writer);
        } else if (part instanceof ReplyPart.Refused refused) {
            refuse(refused.refusal(), writer);
        } else if (part instanceof ReplyPart.HandedBack back) {
            handBack(back, writer);
        }
    }

    @Override
    public void flushBatch(final ExchangeWriter writer) {
        if (mBatch.length() > 0) {
            writer.write(mBatch.toString().getBytes(StandardCharsets.UTF_8));
            mBatch.setLength(0);
        }
    }

    private void startIfNeeded(final ExchangeWriter writer) {
        if (writer.hasBegun() || mBatch.length() > 0) {
            return;
        }
        final HeaderMap headers = writer.exchange().getResponseHeaders();
        headers.put(Headers.CONTENT_TYPE, EVENT_STREAM);
        headers.put(Headers.CACHE_CONTROL, "no-store");
        if (!mTicket.isEmpty()) {
            headers.put(CallerHeaders.TICKET, mTicket);
        }
    }

    /**
     * Sends a ticket at once, as header of the response or in a comment line.
     *
     * <p>A caller whose daemon ends before the first token needs it to continue the engine's
     * stream.
     */
    private void sendTicket(final String ticket, final ExchangeWriter writer) {
        if (writer.hasBegun() || mBatch.length() > 0) {
            appendTicket(ticket);
        } else {
            mTicket = ticket;
            startIfNeeded(writer);
            writer.sendHeaders();
        }
    }

    private void handBack(final ReplyPart.HandedBack back, final ExchangeWriter writer) {
        if (writer.hasBegun() || mBatch.length() > 0) {
            appendTicket(back.ticket());
        } else {
            mTicket = back.ticket();
        }
        refuse(back.refusal(), writer);
    }

    private void appendTicket(final String ticket) {
        mBatch.append(": ticket ").append(ticket).append("\n\n");
    }

    private void complete(final Completion completion, final ExchangeWriter writer) {
        startIfNeeded(writer);
        appendData(mJson.finalChunk(completion));
        mBatch.append(DONE);
        flushBatch(writer);
        writer.end();
    }

    private void refuse(final Refusal refusal, final ExchangeWriter writer) {
        if (!writer.hasBegun() && mBatch.length() == 0) {
            if (!mTicket.isEmpty()) {
                writer.exchange().getResponseHeaders().put(CallerHeaders.TICKET, mTicket);
            }
            Refusals.write(writer, refusal);
            return;
        }
        mBatch.append("event: error\ndata: ")
                .append(new String(RefusalBody.of(refusal), StandardCharsets.UTF_8))
                .append("\n\n");
        flushBatch(writer);
        writer.end();
    }

    private void appendData(final ObjectNode chunk) {
        mBatch.append("data: ").append(chunk).append("\n\n");
    }
}
