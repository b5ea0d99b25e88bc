package org.whinhead.daemon.caller;

import io.undertow.server.HttpServerExchange;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes a response with back pressure; used on the connection's IO thread only.
 *
 * <p>The unwritten bytes of a caller that reads slowly or not at all would fill the daemon's
 * memory. Above the limit of waiting bytes the connection is closed and the request is cancelled as
 * if the caller had disconnected.
 */
final class ExchangeWriter {

    private final HttpServerExchange mExchange;
    private final int mMaxWaitingBytes;
    private final Runnable mOnCallerDisconnect;
    private final EndListener mEndListener;
    private final Deque<ByteBuffer> mWaiting = new ArrayDeque<>();
    private StreamSinkChannel mChannel;
    private int mWaitingBytes;
    private boolean mEnding;
    private boolean mIsShutDown;
    private boolean mClosed;

    /** Receives the end of a response, once. */
    @FunctionalInterface
    interface EndListener {
        /**
         * Handles the end.
         *
         * @param whole whether the whole response was passed to the kernel
         */
        void ended(boolean whole);
    }

    ExchangeWriter(
            final HttpServerExchange exchange,
            final int maxWaitingBytes,
            final Runnable onCallerDisconnect,
            final EndListener endListener) {
        mExchange = exchange;
        mMaxWaitingBytes = maxWaitingBytes;
        mOnCallerDisconnect = onCallerDisconnect;
        mEndListener = endListener;
    }

    HttpServerExchange exchange() {
        return mExchange;
    }

    /** Returns whether a byte of the response may have been sent. */
    boolean hasBegun() {
        return mChannel != null;
    }

    boolean isClosed() {
        return mClosed;
    }

    /** Sends the status and the headers before the first byte of the body is known. */
    void sendHeaders() {
        if (!mClosed && !mEnding) {
            writeWaiting();
        }
    }

    void write(final byte[] bytes) {
        if (mClosed || mEnding || bytes.length == 0) {
            return;
        }
        mWaiting.add(ByteBuffer.wrap(bytes));
        mWaitingBytes += bytes.length;
        writeWaiting();
        if (!mClosed && mWaitingBytes > mMaxWaitingBytes) {
            abort();
        }
    }

    /** Ends the response once all waiting bytes are written. */
    void end() {
        if (!mClosed && !mEnding) {
            mEnding = true;
            writeWaiting();
        }
    }

    /** Closes the connection and, unless the response was ending, cancels the request. */
    void abort() {
        if (mClosed) {
            return;
        }
        mClosed = true;
        mWaiting.clear();
        IoUtils.safeClose(mExchange.getConnection());
        mEndListener.ended(false);
        if (!mEnding) {
            mOnCallerDisconnect.run();
        }
    }

    private void writeWaiting() {
        try {
            if (mChannel == null) {
                mChannel = mExchange.getResponseChannel();
                mChannel.getWriteSetter().set(ignored -> writeWaiting());
            }
            if (writeAll() && (mEnding ? shutDown() : mChannel.flush())) {
                mChannel.suspendWrites();
                finishIfEnding();
            } else {
                mChannel.resumeWrites();
            }
        } catch (final IOException e) {
            abort();
        }
    }

    private boolean writeAll() throws IOException {
        while (!mWaiting.isEmpty()) {
            final ByteBuffer head = mWaiting.peek();
            final int written = mChannel.write(head);
            mWaitingBytes -= written;
            if (head.hasRemaining()) {
                return false;
            }
            mWaiting.remove();
        }
        return true;
    }

    private boolean shutDown() throws IOException {
        if (!mIsShutDown) {
            mChannel.shutdownWrites();
            mIsShutDown = true;
        }
        return mChannel.flush();
    }

    private void finishIfEnding() {
        if (mEnding && !mClosed) {
            mClosed = true;
            mExchange.endExchange();
            mEndListener.ended(true);
        }
    }
}
