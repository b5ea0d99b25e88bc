package org.whinhead.daemon.engine;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.util.HeaderMap;
import io.undertow.util.StatusCodes;
import java.nio.ByteBuffer;
import org.whinhead.clients.http.HttpCall;
import org.whinhead.clients.http.HttpFailure;
import org.whinhead.clients.http.ResponseListener;
import org.whinhead.clients.sse.SseEvent;
import org.whinhead.clients.sse.SseParser;
import org.whinhead.requests.AttemptEvent;
import org.whinhead.requests.AttemptFailure;

/** Turns an engine's stream of server-sent events into attempt events. */
final class EngineStream implements ResponseListener {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String STREAM_HEADER = "X-Stream-Id";
    private static final String DONE = "[DONE]";
    private static final int MAX_EVENT_BYTES = 256 * 1024;
    private static final String NOT_PARSED = "the engine's event is not understood";

    private final AttemptEvents mEvents;
    private final boolean mResumes;
    private final String mKnownStreamId;
    private final SseParser mParser = new SseParser(MAX_EVENT_BYTES, this::event);
    private HttpCall mCall;
    private int mStatus;
    private long mNextIndex;
    private AttemptEvent.Finished mFinished;
    private boolean mOver;

    private EngineStream(final AttemptEvents events, final boolean resumes, final String streamId) {
        mEvents = events;
        mResumes = resumes;
        mKnownStreamId = streamId;
    }

    /** Reads a stream that the engine opens and names. */
    static EngineStream opening(final AttemptEvents events) {
        return new EngineStream(events, false, "");
    }

    /** Reads on in a stream that the engine still holds. */
    static EngineStream resuming(final AttemptEvents events, final String streamId) {
        return new EngineStream(events, true, streamId);
    }

    @Override
    public void onStart(final HttpCall call) {
        mCall = call;
        mEvents.starting(call);
    }

    @Override
    public void onHeaders(final int status, final HeaderMap headers) {
        mStatus = status;
        if (status == StatusCodes.OK) {
            final String named = headers.getFirst(STREAM_HEADER);
            mEvents.opened(named == null ? mKnownStreamId : named);
        }
    }

    @Override
    public void onBodyBytes(final ByteBuffer bytes) {
        if (mStatus != StatusCodes.OK) {
            bytes.position(bytes.limit());
            return;
        }
        if (!mParser.feed(bytes)) {
            breakOff("an event of the engine is larger than " + MAX_EVENT_BYTES + " bytes");
        }
    }

    @Override
    public void onEnd() {
        if (mOver) {
            return;
        }
        if (mStatus != StatusCodes.OK) {
            mOver = true;
            mEvents.failed(failureOf(mStatus), "the engine answered with status " + mStatus);
        } else if (mFinished != null) {
            mOver = true;
            mEvents.last(mFinished);
        } else {
            mOver = true;
            mEvents.failed(AttemptFailure.CUT_DURING_ANSWER, "the engine's stream ended early");
        }
    }

    @Override
    public void onFailure(final HttpFailure failure, final String detail) {
        if (!mOver) {
            mOver = true;
            mEvents.failed(Failures.of(failure), detail);
        }
    }

    private AttemptFailure failureOf(final int status) {
        if (mResumes && status == StatusCodes.NOT_FOUND) {
            return AttemptFailure.STREAM_UNKNOWN;
        }
        return Failures.ofStatus(status);
    }

    private void event(final SseEvent event) {
        if (mOver) {
            return;
        }
        if (DONE.equals(event.data())) {
            if (mFinished != null) {
                mOver = true;
                mEvents.last(mFinished);
            }
            return;
        }
        try {
            parsed(event, MAPPER.readTree(event.data()));
        } catch (final JsonProcessingException | NumberFormatException e) {
            breakOff(NOT_PARSED);
        }
    }

    private void parsed(final SseEvent event, final JsonNode data) {
        final JsonNode choice = data.path("choices").path(0);
        if (choice.isMissingNode()) {
            breakOff(NOT_PARSED);
            return;
        }
        final String text = choice.path("delta").path("content").asText("");
        if (!text.isEmpty()) {
            final long index = Long.parseLong(event.id());
            mNextIndex = index + 1;
            mEvents.token(index, text);
        }
        final String reason = choice.path("finish_reason").asText("");
        if (!choice.path("finish_reason").isNull() && !reason.isEmpty()) {
            mFinished = finished(reason, data.path("usage"));
        }
    }

    private AttemptEvent.Finished finished(final String reason, final JsonNode usage) {
        final int cached = usage.path("prompt_tokens_details").path("cached_tokens").asInt();
        return new AttemptEvent.Finished(
                mEvents.attempt(), reason, usage.path("prompt_tokens").asInt(), cached, mNextIndex);
    }

    /** Ends an attempt whose stream can not be trusted any more. */
    private void breakOff(final String detail) {
        if (!mOver) {
            mOver = true;
            mCall.cancel();
            mEvents.failed(AttemptFailure.FAULTED, detail);
        }
    }
}
