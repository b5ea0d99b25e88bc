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

/** Converts an engine's server-sent events to attempt events. */
final class EngineEventConverter implements ResponseListener {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String STREAM_HEADER = "X-Stream-Id";
    private static final String DONE = "[DONE]";
    private static final int MAX_EVENT_BYTES = 256 * 1024;
    private static final String NOT_PARSED = "the engine's event is not understood";

    private final AttemptEventPublisher mPublisher;
    private final boolean mIsResumed;
    private final String mKnownStreamId;
    private final SseParser mParser = new SseParser(MAX_EVENT_BYTES, this::handleEvent);
    private HttpCall mCall;
    private int mStatus;
    private long mNextIndex;
    private AttemptEvent.Finished mFinished;
    private boolean mEnded;

    private EngineEventConverter(
            final AttemptEventPublisher publisher, final boolean isResumed, final String streamId) {
        mPublisher = publisher;
        mIsResumed = isResumed;
        mKnownStreamId = streamId;
    }

    /** Returns the listener of a new stream, whose id is in the engine's response. */
    static EngineEventConverter opening(final AttemptEventPublisher publisher) {
        return new EngineEventConverter(publisher, false, "");
    }

    /** Returns the listener of a resumed stream that the engine still holds. */
    static EngineEventConverter resuming(
            final AttemptEventPublisher publisher, final String streamId) {
        return new EngineEventConverter(publisher, true, streamId);
    }

    @Override
    public void onStart(final HttpCall call) {
        mCall = call;
        mPublisher.setCall(call);
    }

    @Override
    public void onHeaders(final int status, final HeaderMap headers) {
        mStatus = status;
        if (status == StatusCodes.OK) {
            final String streamId = headers.getFirst(STREAM_HEADER);
            mPublisher.publishOpened(streamId == null ? mKnownStreamId : streamId);
        }
    }

    @Override
    public void onBodyBytes(final ByteBuffer bytes) {
        if (mStatus != StatusCodes.OK) {
            bytes.position(bytes.limit());
            return;
        }
        if (!mParser.feed(bytes)) {
            failAsFaulted("an event of the engine is larger than " + MAX_EVENT_BYTES + " bytes");
        }
    }

    @Override
    public void onEnd() {
        if (mEnded) {
            return;
        }
        if (mStatus != StatusCodes.OK) {
            mEnded = true;
            mPublisher.publishFailed(
                    failureOf(mStatus), "the engine answered with status " + mStatus);
        } else if (mFinished != null) {
            mEnded = true;
            mPublisher.publishLast(mFinished);
        } else {
            mEnded = true;
            mPublisher.publishFailed(
                    AttemptFailure.CUT_DURING_ANSWER, "the engine's stream ended early");
        }
    }

    @Override
    public void onFailure(final HttpFailure failure, final String detail) {
        if (!mEnded) {
            mEnded = true;
            mPublisher.publishFailed(AttemptFailures.of(failure), detail);
        }
    }

    private AttemptFailure failureOf(final int status) {
        if (mIsResumed && status == StatusCodes.NOT_FOUND) {
            return AttemptFailure.STREAM_UNKNOWN;
        }
        return AttemptFailures.ofStatus(status);
    }

    private void handleEvent(final SseEvent event) {
        if (mEnded) {
            return;
        }
        if (DONE.equals(event.data())) {
            if (mFinished != null) {
                mEnded = true;
                mPublisher.publishLast(mFinished);
            }
            return;
        }
        try {
            handleChunk(event, MAPPER.readTree(event.data()));
        } catch (final JsonProcessingException | NumberFormatException e) {
            failAsFaulted(NOT_PARSED);
        }
    }

    private void handleChunk(final SseEvent event, final JsonNode data) {
        final JsonNode choice = data.path("choices").path(0);
        if (choice.isMissingNode()) {
            failAsFaulted(NOT_PARSED);
            return;
        }
        final String text = choice.path("delta").path("content").asText("");
        if (!text.isEmpty()) {
            final long index = Long.parseLong(event.id());
            mNextIndex = index + 1;
            mPublisher.publishToken(index, text);
        }
        final String reason = choice.path("finish_reason").asText("");
        if (!choice.path("finish_reason").isNull() && !reason.isEmpty()) {
            mFinished = finished(reason, data.path("usage"));
        }
    }

    private AttemptEvent.Finished finished(final String reason, final JsonNode usage) {
        final int cached = usage.path("prompt_tokens_details").path("cached_tokens").asInt();
        return new AttemptEvent.Finished(
                mPublisher.attempt(),
                reason,
                usage.path("prompt_tokens").asInt(),
                cached,
                mNextIndex);
    }

    /** Cancels the call and fails the attempt, because the stream is not valid. */
    private void failAsFaulted(final String detail) {
        if (!mEnded) {
            mEnded = true;
            mCall.cancel();
            mPublisher.publishFailed(AttemptFailure.FAULTED, detail);
        }
    }
}
