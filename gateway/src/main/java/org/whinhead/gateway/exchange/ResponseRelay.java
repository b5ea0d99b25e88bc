package org.whinhead.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.Optional;
import org.whinhead.gateway.caller.CallerResponse;
import org.whinhead.gateway.endpoint.EndpointResponse;

/**
 * Passes endpoints' answers on to the caller of one request.
 *
 * <p>Of a stream only whole events are passed, each once, whichever endpoints they come from.
 * Another answer is kept until it is whole, so that a broken one can still be replaced by a second
 * attempt.
 */
final class ResponseRelay {

    /** Answers up to this size are kept until they are whole. */
    private static final int MAX_BUFFERED_BYTES = 256 * 1024;

    private final CallerResponse mResponse;
    private final boolean mStreamRoute;
    private final ProgressListener mProgress;
    private final EventSplitter mEvents = new EventSplitter(ByteBufAllocator.DEFAULT);
    private final ByteBuf mBuffered = ByteBufAllocator.DEFAULT.buffer(0);
    private Optional<String> mLastEventId;
    private EndpointResponse mHead;
    private boolean mStarted;
    private boolean mReleased;

    ResponseRelay(
            final CallerResponse answer,
            final boolean streamRoute,
            final Optional<String> lastEvent,
            final ProgressListener progress) {
        mResponse = answer;
        mStreamRoute = streamRoute;
        mLastEventId = lastEvent;
        mProgress = progress;
    }

    /** Hears how the answer gets on. */
    interface ProgressListener {

        /** An event is about to be passed: the endpoint has read the prompt and is generating. */
        void generationStarted();

        /** The caller doesn't keep up. */
        void callerLagging();
    }

    /** Forgets what was not passed on of an attempt's answer. */
    void startAttempt() {
        mHead = null;
        mBuffered.clear();
        mEvents.clear();
    }

    void head(final EndpointResponse head) {
        mHead = head;
    }

    /** The head of the attempt's answer; null before it has come. */
    EndpointResponse head() {
        return mHead;
    }

    boolean isStream() {
        return mStreamRoute && mHead.isSuccess();
    }

    boolean isStarted() {
        return mStarted;
    }

    Optional<String> lastEventId() {
        return mLastEventId;
    }

    void forwardBody(final ByteBuf bytes) {
        if (isStream()) {
            mEvents.add(bytes);
            forwardEvents();
        } else if (mStarted) {
            forward(bytes.retain());
        } else {
            mBuffered.writeBytes(bytes);
            if (mBuffered.readableBytes() > MAX_BUFFERED_BYTES) {
                forwardBuffered();
            }
        }
    }

    private void forwardEvents() {
        Optional<ByteBuf> event = mEvents.next();
        while (event.isPresent()) {
            forwardEvent(event.get());
            event = mReleased ? Optional.empty() : mEvents.next();
        }
    }

    private void forwardEvent(final ByteBuf event) {
        final Optional<String> id = EventSplitter.id(event);
        if (id.isPresent() && mLastEventId.isPresent() && !isAfter(id.get(), mLastEventId.get())) {
            event.release();
            return;
        }
        mProgress.generationStarted();
        start();
        forward(event);
        if (id.isPresent()) {
            mLastEventId = id;
        }
    }

    /** Tells whether an event comes behind another one; ids that are no numbers are taken to. */
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
        if (!mResponse.write(bytes)) {
            mProgress.callerLagging();
        }
    }

    private void forwardBuffered() {
        start();
        if (mBuffered.isReadable()) {
            forward(mBuffered.readRetainedSlice(mBuffered.readableBytes()));
        }
    }

    /** Tells whether an answer that has ended is whole: a stream must not end within an event. */
    boolean isWhole() {
        return !isStream() || mEvents.pendingBytes() == 0;
    }

    /** Passes the rest of a whole answer. */
    void flush() {
        forwardBuffered();
    }

    void release() {
        mReleased = true;
        mBuffered.release();
        mEvents.release();
    }
}
