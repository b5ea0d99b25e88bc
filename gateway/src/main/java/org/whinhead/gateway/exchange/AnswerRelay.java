package org.whinhead.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.http.HttpHeaderNames;
import java.util.Optional;
import org.whinhead.gateway.caller.CallerAnswer;
import org.whinhead.gateway.endpoint.EndpointAnswer;

/**
 * Passes endpoints' answers on to the caller of one request.
 *
 * <p>Of a stream only whole events are passed, each once, whichever endpoints they come from.
 * Another answer is kept until it is whole, so that a broken one can still be replaced by a second
 * attempt.
 */
final class AnswerRelay {

    /** Answers up to this size are kept until they are whole. */
    private static final int KEPT_ANSWER_BYTES = 256 * 1024;

    private final CallerAnswer mAnswer;
    private final boolean mStreamRoute;
    private final Progress mProgress;
    private final EventSplitter mEvents = new EventSplitter(ByteBufAllocator.DEFAULT);
    private final ByteBuf mKept = ByteBufAllocator.DEFAULT.buffer(0);
    private Optional<String> mLastEvent;
    private EndpointAnswer mHead;
    private boolean mStarted;
    private boolean mReleased;

    AnswerRelay(
            final CallerAnswer answer,
            final boolean streamRoute,
            final Optional<String> lastEvent,
            final Progress progress) {
        mAnswer = answer;
        mStreamRoute = streamRoute;
        mLastEvent = lastEvent;
        mProgress = progress;
    }

    /** Hears how the answer gets on. */
    interface Progress {

        /** An event is about to be passed: the endpoint has read the prompt and is generating. */
        void generating();

        /** The caller doesn't keep up. */
        void callerLags();
    }

    /** Forgets what was not passed on of an attempt's answer. */
    void startAttempt() {
        mHead = null;
        mKept.clear();
        mEvents.clear();
    }

    void head(final EndpointAnswer head) {
        mHead = head;
    }

    /** The head of the attempt's answer; null before it has come. */
    EndpointAnswer head() {
        return mHead;
    }

    boolean isStream() {
        return mStreamRoute && mHead.isSuccess();
    }

    boolean isStarted() {
        return mStarted;
    }

    Optional<String> lastEvent() {
        return mLastEvent;
    }

    void body(final ByteBuf bytes) {
        if (isStream()) {
            mEvents.add(bytes);
            passEvents();
        } else if (mStarted) {
            pass(bytes.retain());
        } else {
            mKept.writeBytes(bytes);
            if (mKept.readableBytes() > KEPT_ANSWER_BYTES) {
                passKept();
            }
        }
    }

    private void passEvents() {
        Optional<ByteBuf> event = mEvents.next();
        while (event.isPresent()) {
            passEvent(event.get());
            event = mReleased ? Optional.empty() : mEvents.next();
        }
    }

    private void passEvent(final ByteBuf event) {
        final Optional<String> id = EventSplitter.id(event);
        if (id.isPresent() && mLastEvent.isPresent() && !follows(id.get(), mLastEvent.get())) {
            event.release();
            return;
        }
        mProgress.generating();
        start();
        pass(event);
        if (id.isPresent()) {
            mLastEvent = id;
        }
    }

    /** Tells whether an event comes behind another one; ids that are no numbers are taken to. */
    private static boolean follows(final String id, final String last) {
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
                mHead.passed().remove(HttpHeaderNames.CONTENT_LENGTH);
            }
            mAnswer.start(mHead);
        }
    }

    private void pass(final ByteBuf bytes) {
        if (!mAnswer.write(bytes)) {
            mProgress.callerLags();
        }
    }

    private void passKept() {
        start();
        if (mKept.isReadable()) {
            pass(mKept.readRetainedSlice(mKept.readableBytes()));
        }
    }

    /** Tells whether an answer that has ended is whole: a stream must not end within an event. */
    boolean isWhole() {
        return !isStream() || mEvents.pendingBytes() == 0;
    }

    /** Passes the rest of a whole answer. */
    void passRest() {
        passKept();
    }

    void release() {
        mReleased = true;
        mKept.release();
        mEvents.release();
    }
}
