package org.whinhead.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.whinhead.gateway.http.ContentMerger;
import org.whinhead.gateway.http.FirstLine;
import org.whinhead.gateway.http.HeadLineCheck;

/**
 * Decodes requests and rejects those with an ambiguous body length.
 *
 * <p>A request with both Content-Length and chunked encoding may end at different bytes for this
 * daemon and for an endpoint; the bytes between would run as a request that no caller sent (request
 * smuggling).
 *
 * <p>A caller that sends its body in chunks of a byte, or many requests at once, would cause some
 * thousand messages with each read. Only some are decoded in a turn of the event loop, and none
 * while the handlers behind have paused reading. The rest is kept as bytes, and nothing more is
 * read until it is decoded.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    private static final String VERSION_1 = "HTTP/1.";
    private static final int MAX_REQUEST_LINE_BYTES = 8_192;

    /** The messages, among them chunks, that are decoded of a read at once. */
    static final int MAX_MESSAGES_PER_READ = 128;

    /** The messages of the rest that are decoded in a turn: many callers may be behind. */
    static final int MAX_MESSAGES_PER_TURN = 32;

    /** Lets the event loop read other connections; a task without a delay runs before that. */
    private static final Duration TURN_DELAY = Duration.ofMillis(1);

    private final ContentMerger mMerger = new ContentMerger();
    private final HeadLineCheck mHeadLines = new HeadLineCheck(FirstLine.REQUEST_LINE);
    private boolean mAwaitingHead = true;
    private int mMessagesLeft = MAX_MESSAGES_PER_READ;
    private boolean mWithinHead;
    private boolean mDecoding;
    private boolean mBehind;
    private boolean mScheduled;
    private boolean mInputEnded;

    StrictRequestDecoder(final int maxHeaderBytes) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                        .setMaxHeaderSize(maxHeaderBytes)
                        .setAllowDuplicateContentLengths(false));
    }

    @Override
    public void handlerAdded(final ChannelHandlerContext context) throws Exception {
        super.handlerAdded(context);
        context.pipeline().addAfter(context.name(), null, new ReadFilter(context));
    }

    /**
     * Returns whether input was read that may hold further messages, which are decoded later in
     * this turn of the event loop or in a later one.
     *
     * @return false if all input is decoded but for the start of a message
     */
    boolean isBehind() {
        return mBehind || (mDecoding && actualReadableBytes() > 0);
    }

    /**
     * Returns whether a part of a request's head was read.
     *
     * @return false if all input is decoded to messages; a line end before a request counts as none
     */
    boolean isWithinRequest() {
        return mWithinHead || actualReadableBytes() > 0;
    }

    @Override
    protected HttpMessage createMessage(final String[] initialLine) throws Exception {
        mWithinHead = true;
        if (!initialLine[2].startsWith(VERSION_1)) {
            throw new IllegalArgumentException("request of version " + initialLine[2]);
        }
        return super.createMessage(initialLine);
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message)
            throws Exception {
        mDecoding = true;
        try {
            super.channelRead(context, message);
        } finally {
            mDecoding = false;
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(final HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and chunked Transfer-Encoding");
    }

    @Override
    protected void decode(
            final ChannelHandlerContext context, final ByteBuf bytes, final List<Object> messages)
            throws Exception {
        boolean more = true;
        while (more) {
            if (!mInputEnded && !mayDecode(context)) {
                defer(context);
                break;
            }
            final int readable = bytes.readableBytes();
            final int count = messages.size();
            final int start = bytes.readerIndex();
            super.decode(context, bytes, messages);
            checkHead(bytes, start, messages.subList(count, messages.size()));
            if (messages.size() > count) {
                mWithinHead = false;
                if (mMessagesLeft > 0 && !ContentMerger.endsWithLongContent(messages)) {
                    mMessagesLeft--;
                }
                mMerger.mergeLast(context.alloc(), messages);
            }
            more = bytes.readableBytes() < readable && ContentMerger.endsWithContent(messages);
        }
        mMerger.end();
    }

    /** Marks a head as not decoded whose lines are none; its request is refused. */
    private void checkHead(final ByteBuf bytes, final int start, final List<Object> decoded) {
        if (mAwaitingHead) {
            mHeadLines.read(bytes, start, bytes.readerIndex());
        }
        for (final Object message : decoded) {
            if (message instanceof HttpRequest request) {
                mAwaitingHead = false;
                mHeadLines.end(request);
            }
            if (message instanceof LastHttpContent) {
                mAwaitingHead = true;
            }
        }
    }

    private boolean mayDecode(final ChannelHandlerContext context) {
        return mMessagesLeft > 0 && context.channel().config().isAutoRead();
    }

    private void defer(final ChannelHandlerContext context) {
        if (mBehind) {
            return;
        }
        mBehind = true;
        if (context.channel().config().isAutoRead()) {
            context.channel().config().setAutoRead(false);
            schedule(context);
        }
    }

    private void schedule(final ChannelHandlerContext context) {
        if (!mScheduled) {
            mScheduled = true;
            context.executor()
                    .schedule(
                            () -> continueDecoding(context),
                            TURN_DELAY.toMillis(),
                            TimeUnit.MILLISECONDS);
        }
    }

    private void continueDecoding(final ChannelHandlerContext context) {
        if (context.isRemoved() || mInputEnded) {
            return;
        }
        // The handlers behind may pause while they receive the messages; nothing is read yet.
        context.channel().config().setAutoRead(true);
        mScheduled = false;
        mBehind = false;
        mMessagesLeft = MAX_MESSAGES_PER_TURN;
        try {
            channelRead(context, Unpooled.EMPTY_BUFFER);
            channelReadComplete(context);
        } catch (Exception e) {
            context.fireExceptionCaught(e);
        }
        if (!mBehind && context.channel().config().isAutoRead()) {
            context.read();
        }
    }

    @Override
    public void channelReadComplete(final ChannelHandlerContext context) throws Exception {
        if (!mBehind) {
            mMessagesLeft = MAX_MESSAGES_PER_READ;
        }
        super.channelReadComplete(context);
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) throws Exception {
        mInputEnded = true;
        super.channelInactive(context);
    }

    /** Keeps the handlers behind the decoder from reading more while it is behind. */
    private final class ReadFilter extends ChannelOutboundHandlerAdapter {
        private final ChannelHandlerContext mDecoder;

        private ReadFilter(final ChannelHandlerContext decoder) {
            mDecoder = decoder;
        }

        @Override
        public void read(final ChannelHandlerContext context) {
            if (mBehind) {
                schedule(mDecoder);
            } else {
                context.read();
            }
        }
    }
}
