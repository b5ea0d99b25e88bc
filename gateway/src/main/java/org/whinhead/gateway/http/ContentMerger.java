package org.whinhead.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/** Joins the small contents that a decoder makes one after the other. */
public final class ContentMerger {

    /** Contents up to this size are copied to be passed on together. */
    private static final int MAX_COPIED_BYTES = 64;

    /** Contents from this size on are few in a read. */
    private static final int LONG_BYTES = 1024;

    private static final int FIRST_BYTES = 256;

    private HttpContent mMerged;

    /**
     * Returns whether more contents may be joined to decoded messages.
     *
     * @param messages the messages
     * @return true if there are none, or the last one is a content that doesn't end its body
     */
    public static boolean endsWithContent(final List<Object> messages) {
        return messages.isEmpty() || isContent(messages.get(messages.size() - 1));
    }

    /**
     * Returns whether the last message is a long content: the size of a read bounds the number of
     * these.
     *
     * @param messages the messages, at least one
     * @return false for short contents and for other messages
     */
    public static boolean endsWithLongContent(final List<Object> messages) {
        final Object last = messages.get(messages.size() - 1);
        return isContent(last) && ((HttpContent) last).content().readableBytes() >= LONG_BYTES;
    }

    private static boolean isContent(final Object message) {
        return message instanceof HttpContent content
                && !(message instanceof LastHttpContent)
                && content.decoderResult().isSuccess();
    }

    private static boolean isSmallContent(final Object message) {
        return isContent(message)
                && ((HttpContent) message).content().readableBytes() <= MAX_COPIED_BYTES;
    }

    /**
     * Joins the last message to the one before it if both are small contents.
     *
     * @param allocator allocates the joined content
     * @param messages the messages, of which the last one is new
     */
    public void mergeLast(final ByteBufAllocator allocator, final List<Object> messages) {
        final int last = messages.size() - 1;
        if (last == 0 || !isSmallContent(messages.get(last))) {
            return;
        }
        final Object previous = messages.get(last - 1);
        if (previous != mMerged && !isSmallContent(previous)) {
            return;
        }
        final HttpContent content = (HttpContent) messages.get(last);
        final HttpContent first = (HttpContent) previous;
        if (first.content().readableBytes() + content.content().readableBytes()
                > ResponsePipeline.MAX_CONTENT_BYTES) {
            return;
        }
        if (first != mMerged) {
            final ByteBuf merged = allocator.buffer(FIRST_BYTES);
            merged.writeBytes(first.content());
            first.release();
            mMerged = new DefaultHttpContent(merged);
            messages.set(last - 1, mMerged);
        }
        mMerged.content().writeBytes(content.content());
        content.release();
        messages.remove(last);
    }

    /** Ends the joining, as the messages are passed on. */
    public void end() {
        mMerged = null;
    }
}
