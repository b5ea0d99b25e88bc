package org.whinhead.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.Optional;
import org.whinhead.gateway.caller.CallerResponse;
import org.whinhead.gateway.endpoint.EndpointResponse;
import org.whinhead.gateway.http.ResponsePipeline;

/**
 * Forwards the responses of endpoints to the caller of one request.
 *
 * <p>Of a stream only whole events are forwarded, each once, even if several endpoints send them.
 * Any other response is buffered until it is complete, so that a second attempt can replace a
 * broken one.
 */
final class ResponseRelay {

    /**
     * Responses up to this size are buffered until they are complete. With the reads after it and
     * what a slow caller has not read, they stay under 256 KiB.
     */
    private static final int MAX_BUFFERED_BYTES = 160 * 1024;

    private final CallerResponse mResponse;
    private final boolean mStreamRoute;
    private final ProgressListener mProgress;
    private final EventSplitter mEvents = new EventSplitter(ByteBufAllocator.DEFAULT);
    private ByteBuf mBuffered = newBuffer();
    private Optional<String> mLastEventId;
    private EndpointResponse mHead;
    private long mForwardedBytes;
    private boolean mStarted;
    private boolean mReleased;

    ResponseRelay(
            final CallerResponse response,
            final boolean streamRoute,
            final Optional<String> lastEventId,
            final ProgressListener progress) {
        mResponse = response;
        mStreamRoute = streamRoute;
        mLastEventId = lastEventId;
        mProgress = progress;
    }

    private static ByteBuf newBuffer() {
        return ByteBufAllocator.DEFAULT.buffer(
                0, MAX_BUFFERED_BYTES + ResponsePipeline.MAX_CONTENT_BYTES);
    }

    /** Receives the progress of the response. */
    interface ProgressListener {

        /** Called before an event is forwarded: the endpoint generates tokens. */
        void generationStarted();

        /** Called when the caller reads more slowly than the endpoint sends. */
        void callerLagging();

        /** Called when an event is too long to be buffered; its attempt must end. */
        void eventOverlong();
    }

    /** Discards the unforwarded part of the previous attempt's response. */
    void startAttempt() {
        mHead = null;
        mBuffered.clear();
        mEvents.clear();
    }

    void head(final EndpointResponse head) {
        mHead = head;
    }

    /** Returns the head of the attempt's response, or null before it is received. */
    EndpointResponse head() {
        return mHead;
    }

    boolean isStream() {
        return mStreamRoute && mHead.isSuccess();
    }

    boolean isStarted() {
        return mStarted;
    }

    /** Returns the bytes of the body that were written to the caller's connection. */
    long forwardedBytes() {
        return mForwardedBytes;
    }

    Optional<String> lastEventId() {
        return mLastEventId;
    }

    void forwardBody(final ByteBuf bytes) {
        if (isStream()) {
            mEvents.add(bytes);
            forwardEvents();
            if (!mReleased && mEvents.isOverlong()) {
                mProgress.eventOverlong();
            }
        } else if (mStarted) {
            forward(bytes.retain());
        } else {
            mBuffered.writeBytes(bytes);
            if (mBuffered.readableBytes() > MAX_BUFFERED_BYTES) {
                forwardBuffered();
            }
        }
    }

    /** Forwards all whole events that were received, with one write unless some are dropped. */
    private void forwardEvents() {
        Optional<ByteBuf> events = mEvents.next(this::acceptEvent);
        while (events.isPresent()) {
            start();
            forward(events.get());
            events = mReleased ? Optional.empty() : mEvents.next(this::acceptEvent);
        }
    }

    /** Accepts an event unless the caller has it from the endpoint before. */
    private boolean acceptEvent(final Optional<String> id) {
        if (id.isPresent() && mLastEventId.isPresent() && !isAfter(id.get(), mLastEventId.get())) {
            return false;
        }
        mProgress.generationStarted();
        if (id.isPresent()) {
            mLastEventId = id;
        }
        return true;
    }

    /** Returns whether an id follows the last one; if one is no number, it only has to differ. */
    private static boolean isAfter(final String id, final String last) {
        try {
            return Long.parseLong(id) > Long.parseLong(last);
        } catch (NumberFormatException e) {
            return !id.equals(last);
        }
    }

    private void start() {
        if (!mStarted) {
            mStarted = true;
            if (isStream()) {
                mHead.forwardedHeaders().remove(HttpHeaderNames.CONTENT_LENGTH);
            }
            mResponse.start(mHead);
        }
    }

    private void forward(final ByteBuf bytes) {
        mForwardedBytes += bytes.readableBytes();
        if (!mResponse.write(bytes)) {
            mProgress.callerLagging();
        }
    }

    private void forwardBuffered() {
        start();
        if (mBuffered.isReadable()) {
            final ByteBuf buffered = mBuffered;
            // The buffer is released once the caller has read it.
            mBuffered = newBuffer();
            forward(buffered);
        }
    }

    /** Returns whether an ended response is complete: a stream must not end within an event. */
    boolean isComplete() {
        return !isStream() || !mEvents.hasPartialEvent();
    }

    /** Returns whether the response is a stream from its first event on that has none. */
    boolean isEmptyStream() {
        return isStream() && !mStarted && mLastEventId.isEmpty();
    }

    /** Forwards the rest of a complete response. */
    void flush() {
        forwardBuffered();
        if (!mReleased) {
            mEvents.removeBlankLines().ifPresent(this::forward);
        }
    }

    void release() {
        mReleased = true;
        mBuffered.release();
        mEvents.release();
    }
}
