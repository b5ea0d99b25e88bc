package org.whinhead.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.whinhead.gateway.http.ResponsePipeline;

/**
 * Splits an event stream into whole events.
 *
 * <p>An endpoint that crashes may cut its stream within an event. Only whole events are forwarded,
 * so that another endpoint can continue the stream after the last whole event.
 *
 * <p>Blank lines before the first line of an event belong to it. They are no events of their own:
 * an endpoint that sends nothing else would otherwise cause a write to the caller for each of them.
 */
final class EventSplitter {

    private static final byte LINE_END = '\n';
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);
    private static final byte[] DATA_FIELD = "data".getBytes(StandardCharsets.US_ASCII);

    /**
     * The longest event, and the bytes beside it that are held: together with what a slow caller
     * has not read, they stay under 256 KiB.
     */
    private static final int MAX_EVENT_BYTES = 144 * 1024;

    private static final int MAX_HELD_BYTES =
            MAX_EVENT_BYTES + 2 * ResponsePipeline.MAX_CONTENT_BYTES;

    /**
     * The most bytes of events without data, such as comments, behind one with data. An endpoint
     * that sends some of them a second to keep its connection open needs minutes for as many.
     */
    private static final int MAX_BYTES_WITHOUT_DATA = 64 * 1024;

    /** Events from this size on are passed on with their buffer instead of being copied. */
    private static final int MIN_UNCOPIED_BYTES = 16 * 1024;

    private static final int FIRST_BYTES = 256;

    private final ByteBufAllocator mAllocator;
    private ByteBuf mBytes;
    private int mBytesWithoutData;

    /** The start of the first event that is not complete, from the first held byte on. */
    private int mEventStart;

    /** The start of the line that is not complete, from the start of its event on. */
    private int mLineStart;

    /** The bytes of the event without an end of that line; a long line is read only once. */
    private int mScanned;

    private boolean mHasLine;
    private boolean mHasData;
    private Optional<String> mId = Optional.empty();

    EventSplitter(final ByteBufAllocator allocator) {
        mAllocator = allocator;
        mBytes = newBuffer();
    }

    /** Decides which events are forwarded. */
    @FunctionalInterface
    interface EventFilter {

        /**
         * Returns whether an event is forwarded.
         *
         * @param id the value of its id field; empty without such a field
         */
        boolean accepts(Optional<String> id);
    }

    private ByteBuf newBuffer() {
        return mAllocator.buffer(FIRST_BYTES, MAX_HELD_BYTES);
    }

    /** Adds a part of a body of at most {@link ResponsePipeline#MAX_CONTENT_BYTES}. */
    void add(final ByteBuf bytes) {
        mBytes.discardReadBytes();
        mBytes.writeBytes(bytes);
    }

    /**
     * Returns whether the next event is too long, once the whole ones are removed, or whether too
     * many events had no data.
     */
    boolean isOverlong() {
        return mBytes.readableBytes() > MAX_EVENT_BYTES
                || mBytesWithoutData > MAX_BYTES_WITHOUT_DATA;
    }

    /** Returns whether an event is cut: blank lines alone are none. */
    boolean hasPartialEvent() {
        return mHasLine || mBytes.readableBytes() > mLineStart && !isBlank(mBytes.writerIndex());
    }

    /**
     * Removes and returns all whole events that follow each other and are accepted, as one buffer,
     * which the caller releases. Rejected ones before them are dropped.
     *
     * @param filter decides on each event in turn
     */
    Optional<ByteBuf> next(final EventFilter filter) {
        while (findEventEnd()) {
            if (filter.accepts(mId)) {
                countEvent();
                mEventStart += mLineStart;
            } else if (mEventStart == 0) {
                countEvent();
                mBytes.skipBytes(mLineStart);
            } else {
                // It is read again after those before it are removed.
                startEvent();
                break;
            }
            startEvent();
        }
        if (mEventStart == 0) {
            return Optional.empty();
        }
        final int length = mEventStart;
        mEventStart = 0;
        return Optional.of(remove(length));
    }

    /** Removes and returns the blank lines behind the last event of a stream that has ended. */
    Optional<ByteBuf> removeBlankLines() {
        if (!mBytes.isReadable()) {
            return Optional.empty();
        }
        final ByteBuf lines = mBytes.readBytes(mBytes.readableBytes());
        clear();
        return Optional.of(lines);
    }

    private void countEvent() {
        mBytesWithoutData = mHasData ? 0 : mBytesWithoutData + mLineStart;
    }

    private void startEvent() {
        mLineStart = 0;
        mScanned = 0;
        mHasLine = false;
        mHasData = false;
        mId = Optional.empty();
    }

    /** Reads lines up to the end of the event; the next line then starts behind it. */
    private boolean findEventEnd() {
        final int start = mBytes.readerIndex() + mEventStart;
        while (true) {
            final int lineEnd = mBytes.indexOf(start + mScanned, mBytes.writerIndex(), LINE_END);
            if (lineEnd < 0) {
                mScanned = mBytes.writerIndex() - start;
                return false;
            }
            final boolean blank = isBlank(lineEnd);
            if (!blank) {
                readLine(start + mLineStart, lineEnd);
            }
            mLineStart = lineEnd + 1 - start;
            mScanned = mLineStart;
            if (blank && mHasLine) {
                return true;
            }
        }
    }

    private void readLine(final int from, final int to) {
        mHasLine = true;
        if (startsWith(ID_FIELD, from, to)) {
            final int begin = from + ID_FIELD.length;
            mId = Optional.of(mBytes.toString(begin, to - begin, StandardCharsets.UTF_8).strip());
        } else if (startsWith(DATA_FIELD, from, to)) {
            mHasData = true;
        }
    }

    private boolean startsWith(final byte[] field, final int from, final int to) {
        if (to - from < field.length) {
            return false;
        }
        for (int index = 0; index < field.length; index++) {
            if (mBytes.getByte(from + index) != field[index]) {
                return false;
            }
        }
        return true;
    }

    /** Returns whether the current line has no content before an index. */
    private boolean isBlank(final int lineEnd) {
        final int from = mBytes.readerIndex() + mEventStart + mLineStart;
        return lineEnd == from || lineEnd == from + 1 && mBytes.getByte(from) == '\r';
    }

    /** Removes and returns the first bytes. */
    private ByteBuf remove(final int length) {
        if (length < MIN_UNCOPIED_BYTES) {
            return mBytes.readBytes(length);
        }
        final int end = mBytes.readerIndex() + length;
        final ByteBuf removed = mBytes;
        mBytes = newBuffer().writeBytes(removed, end, removed.writerIndex() - end);
        return removed.writerIndex(end);
    }

    /** Discards a partial event, as its endpoint sends no more. */
    void clear() {
        mBytes.clear();
        mBytesWithoutData = 0;
        startEvent();
    }

    void release() {
        mBytes.release();
    }
}
