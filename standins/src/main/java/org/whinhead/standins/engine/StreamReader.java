package org.whinhead.standins.engine;

import io.undertow.server.handlers.sse.ServerSentEventConnection;
import java.time.Instant;
import org.whinhead.standins.http.Call;
import org.xnio.IoUtils;

/** Hands the tokens of a stream to one caller as they come; guarded by the engine's lock. */
final class StreamReader {

    // The library writes "data:" and "id:" without the blank that callers of model engines expect.
    private static final String BLANK = " ";
    private static final String DONE = " [DONE]";

    private final EngineStream mStream;
    private final Call mWhole;
    private final ServerSentEventConnection mEvents;
    private volatile boolean mGone;
    private long mNext;

    private StreamReader(
            final EngineStream stream,
            final Call whole,
            final ServerSentEventConnection events,
            final long next) {
        mStream = stream;
        mWhole = whole;
        mEvents = events;
        mNext = next;
        stream.attach();
    }

    /** Makes a reader that answers once, with everything. */
    static StreamReader whole(final EngineStream stream, final Call call) {
        return new StreamReader(stream, call, null, 0);
    }

    /** Makes a reader that sends an event for each token. */
    static StreamReader events(
            final EngineStream stream,
            final ServerSentEventConnection connection,
            final long next) {
        final long first = Math.max(next, stream.generation().startIndex());
        final StreamReader reader = new StreamReader(stream, null, connection, first);
        connection.addCloseTask(closed -> reader.mGone = true);
        return reader;
    }

    /** Sends what is new; returns false when the reader is done with. */
    boolean pump(final Instant now) {
        if (mGone) {
            mStream.detach(now);
            return false;
        }
        final boolean more = mWhole == null ? pumpEvents() : pumpWhole();
        if (!more) {
            mStream.detach(now);
        }
        return more;
    }

    private boolean pumpWhole() {
        if (!mStream.state().ended()) {
            return true;
        }
        if (mStream.state() == EngineStream.State.FINISHED) {
            mWhole.with("X-Stream-Id", mStream.id()).reply(200, ChatBody.whole(mStream));
        } else {
            mWhole.cut();
        }
        return false;
    }

    private boolean pumpEvents() {
        final boolean finished = mStream.state() == EngineStream.State.FINISHED;
        if (finished && mNext >= mStream.end()) {
            mEvents.send(BLANK + ChatBody.end(mStream));
        }
        while (mNext < mStream.end()) {
            final String data = BLANK + ChatBody.token(mStream, mNext);
            mEvents.send(data, null, BLANK + mNext, null);
            mNext++;
        }
        if (finished) {
            mEvents.send(DONE);
            mEvents.shutdown();
        } else if (mStream.state().ended()) {
            IoUtils.safeClose(mEvents);
        }
        return !mStream.state().ended();
    }
}
