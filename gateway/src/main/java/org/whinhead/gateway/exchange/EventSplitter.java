package org.whinhead.gateway.exchange;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.whinhead.gateway.http.ResponsePipeline;

/**
 * Splits an event stream into whole events.
 *
 * <p>An endpoint that crashes may cut its stream within an event. Only whole events are forwarded,
 * so that another endpoint can continue the stream after the last whole event.
 */
final class EventSplitter {

    private static final byte LINE_END = '\n';
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    /**
     * The longest event, and the bytes beside it that are held: together with what a slow caller
     * has not read, they stay under 256 KiB.
     */
    private static final int MAX_EVENT_BYTES = 144 * 1024;

    private static final int MAX_HELD_BYTES =
            MAX_EVENT_BYTES + 2 * ResponsePipeline.MAX_CONTENT_BYTES;

    /** Events from this size on are passed on with their buffer instead of being copied. */
    private static final int MIN_UNCOPIED_BYTES = 16 * 1024;

    private static final int FIRST_BYTES = 256;

    private final ByteBufAllocator mAllocator;
    private ByteBuf mBytes;

    /** The begin of the line that is not complete, from the begin of the event on. */
    private int mLineStart;

    /** The bytes without an end of that line; a long line in small parts is read only once. */
    private int mScanned;

    EventSplitter(final ByteBufAllocator allocator) {
        mAllocator = allocator;
        mBytes = newBuffer();
    }

    private ByteBuf newBuffer() {
        return mAllocator.buffer(FIRST_BYTES, MAX_HELD_BYTES);
    }

    /** Adds a part of a body of at most {@link ResponsePipeline#MAX_CONTENT_BYTES}. */
    void add(final ByteBuf bytes) {
        mBytes.discardReadBytes();
        mBytes.writeBytes(bytes);
    }

    /** Returns whether the next event is too long, once the whole ones are removed. */
    boolean isOverlong() {
        return mBytes.readableBytes() > MAX_EVENT_BYTES;
    }

    int pendingBytes() {
        return mBytes.readableBytes();
    }

    /** Removes and returns the next whole event, which the caller releases, if there is one. */
    Optional<ByteBuf> next() {
        final int start = mBytes.readerIndex();
        int lineStart = start + mLineStart;
        int from = start + mScanned;
        while (true) {
            final int lineEnd = mBytes.indexOf(from, mBytes.writerIndex(), LINE_END);
            if (lineEnd < 0) {
                mScanned = mBytes.writerIndex() - start;
                return Optional.empty();
            }
            if (isBlank(lineStart, lineEnd)) {
                mLineStart = 0;
                mScanned = 0;
                return Optional.of(remove(lineEnd + 1));
            }
            lineStart = lineEnd + 1;
            from = lineStart;
            mLineStart = lineStart - start;
        }
    }

    /** Removes and returns the bytes up to an index. */
    private ByteBuf remove(final int end) {
        final int length = end - mBytes.readerIndex();
        if (length < MIN_UNCOPIED_BYTES) {
            return mBytes.readBytes(length);
        }
        final ByteBuf removed = mBytes;
        mBytes = newBuffer().writeBytes(removed, end, removed.writerIndex() - end);
        return removed.writerIndex(end);
    }

    private boolean isBlank(final int from, final int lineEnd) {
        return lineEnd == from || lineEnd == from + 1 && mBytes.getByte(from) == '\r';
    }

    /** Discards a partial event, as its endpoint sends no more. */
    void clear() {
        mBytes.clear();
        mLineStart = 0;
        mScanned = 0;
    }

    void release() {
        mBytes.release();
    }

    /** Returns the value of an event's id field; empty without such a field. */
    static Optional<String> id(final ByteBuf event) {
        int from = event.readerIndex();
        while (from < event.writerIndex()) {
            int lineEnd = event.indexOf(from, event.writerIndex(), LINE_END);
            if (lineEnd < 0) {
                lineEnd = event.writerIndex();
            }
            final boolean isId =
                    lineEnd - from > ID_FIELD.length
                            && ByteBufUtil.equals(
                                    event,
                                    from,
                                    io.netty.buffer.Unpooled.wrappedBuffer(ID_FIELD),
                                    0,
                                    ID_FIELD.length);
            if (isId) {
                final int begin = from + ID_FIELD.length;
                return Optional.of(
                        event.toString(begin, lineEnd - begin, StandardCharsets.UTF_8).strip());
            }
            from = lineEnd + 1;
        }
        return Optional.empty();
    }
}
