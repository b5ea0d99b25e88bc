package org.whinhead.standins.engine;

import io.undertow.server.handlers.sse.ServerSentEventConnection;
import java.time.Instant;
import org.whinhead.standins.http.StandInCall;
import org.xnio.IoUtils;

/** Sends the tokens of a stream to one caller; guarded by the engine's lock. */
final class StreamSender {

    // The library writes "data:" and "id:" without the space that callers of model engines expect.
    private static final String SPACE = " ";
    private static final String DONE = " [DONE]";

    private final EngineStream mStream;
    private final StandInCall mCall;
    private final ServerSentEventConnection mEvents;
    private volatile boolean mClosed;
    private long mNext;

    private StreamSender(
            final EngineStream stream,
            final StandInCall call,
            final ServerSentEventConnection events,
            final long next) {
        mStream = stream;
        mCall = call;
        mEvents = events;
        mNext = next;
        stream.attach();
    }

    /** Creates a sender that answers once, with the complete response. */
    static StreamSender whole(final EngineStream stream, final StandInCall call) {
        return new StreamSender(stream, call, null, 0);
    }

    /** Creates a sender of one event for each token. */
    static StreamSender events(
            final EngineStream stream,
            final ServerSentEventConnection connection,
            final long next) {
        final long first = Math.max(next, stream.generation().startIndex());
        final StreamSender sender = new StreamSender(stream, null, connection, first);
        connection.addCloseTask(closed -> sender.mClosed = true);
        return sender;
    }

    /** Sends the new tokens; returns whether more can follow. */
    boolean sendAvailable(final Instant now) {
        if (mClosed) {
            mStream.detach(now);
            return false;
        }
        final boolean more = mCall == null ? sendAvailableEvents() : sendWhole();
        if (!more) {
            mStream.detach(now);
        }
        return more;
    }

    private boolean sendWhole() {
        if (!mStream.state().isEnded()) {
            return true;
        }
        if (mStream.state() == EngineStream.State.FINISHED) {
            mCall.withHeader("X-Stream-Id", mStream.id()).reply(200, ChatBody.whole(mStream));
        } else {
            mCall.closeConnection();
        }
        return false;
    }

    private boolean sendAvailableEvents() {
        final boolean finished = mStream.state() == EngineStream.State.FINISHED;
        if (finished && mNext >= mStream.end()) {
            mEvents.send(SPACE + ChatBody.end(mStream));
        }
        while (mNext < mStream.end()) {
            final String data = SPACE + ChatBody.token(mStream, mNext);
            mEvents.send(data, null, SPACE + mNext, null);
            mNext++;
        }
        if (finished) {
            mEvents.send(DONE);
            mEvents.shutdown();
        } else if (mStream.state().isEnded()) {
            IoUtils.safeClose(mEvents);
        }
        return !mStream.state().isEnded();
    }
}
