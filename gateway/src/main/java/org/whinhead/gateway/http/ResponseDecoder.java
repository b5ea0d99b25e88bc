package org.whinhead.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Decodes the responses on a connection that carries one request at a time.
 *
 * <p>It is stricter than its base class, which takes "Date HTTP/1.1 500" for a field "Date": a
 * status line that follows a begun field would be dropped.
 *
 * <p>What it doesn't decode in a turn it keeps, and reading pauses until it is decoded.
 */
final class ResponseDecoder extends HttpResponseDecoder {

    /** The messages, among them chunks, that are decoded before other connections get a turn. */
    static final int MAX_MESSAGES_PER_TURN = 128;

    private static final int STATUS_DIGITS = 3;

    private final ReadControl mReading;
    private final DecodeQueue mQueue;
    private final ContentMerger mMerger = new ContentMerger();
    private final HeadLineCheck mHeadLines = new HeadLineCheck(FirstLine.STATUS_LINE);
    private boolean mInHead = true;
    private boolean mAfterHeadRequest;
    private int mVersionEnd;
    private int mMessagesLeft = MAX_MESSAGES_PER_TURN;
    private boolean mInputEnded;
    private boolean mDecodingHeld;

    ResponseDecoder(
            final HttpDecoderConfig config, final ReadControl reading, final DecodeQueue queue) {
        super(config);
        mReading = reading;
        mQueue = queue;
    }

    @Override
    protected void decode(
            final ChannelHandlerContext context, final ByteBuf bytes, final List<Object> messages)
            throws Exception {
        boolean more = true;
        while (more) {
            if (mMessagesLeft == 0 && !mInputEnded) {
                defer(context);
                break;
            }
            final int readable = bytes.readableBytes();
            final int count = messages.size();
            final int start = bytes.readerIndex();
            super.decode(context, bytes, messages);
            checkHead(bytes, start, messages.subList(count, messages.size()));
            if (messages.size() > count) {
                if (mMessagesLeft > 0 && !ContentMerger.endsWithLongContent(messages)) {
                    mMessagesLeft--;
                }
                mMerger.mergeLast(context.alloc(), messages);
            }
            more = bytes.readableBytes() < readable && ContentMerger.endsWithContent(messages);
        }
        mMerger.end();
    }

    /** Marks a head as not decoded whose lines are none. */
    private void checkHead(final ByteBuf bytes, final int start, final List<Object> decoded) {
        if (mInHead) {
            mHeadLines.read(bytes, start, bytes.readerIndex());
        }
        for (final Object message : decoded) {
            if (message instanceof HttpResponse response) {
                mInHead = false;
                mHeadLines.end(response);
            }
            if (message instanceof LastHttpContent) {
                mInHead = true;
            }
        }
    }

    private void defer(final ChannelHandlerContext context) {
        if (!mReading.isDecoderBehind()) {
            mReading.setDecoderBehind(true);
            mQueue.add(context.executor(), () -> continueDecoding(context));
        }
    }

    /** Decodes the messages of one turn, and returns how many there were. */
    private int continueDecoding(final ChannelHandlerContext context) {
        if (context.isRemoved() || mInputEnded) {
            return 0;
        }
        mMessagesLeft = MAX_MESSAGES_PER_TURN;
        mReading.setDecoderBehind(false);
        try {
            channelRead(context, Unpooled.EMPTY_BUFFER);
            final int decoded = MAX_MESSAGES_PER_TURN - mMessagesLeft;
            channelReadComplete(context);
            return decoded;
        } catch (Exception e) {
            context.fireExceptionCaught(e);
            return MAX_MESSAGES_PER_TURN;
        }
    }

    @Override
    public void channelReadComplete(final ChannelHandlerContext context) throws Exception {
        if (!isBehind()) {
            mMessagesLeft = MAX_MESSAGES_PER_TURN;
        }
        super.channelReadComplete(context);
    }

    @Override
    public void userEventTriggered(final ChannelHandlerContext context, final Object event)
            throws Exception {
        if (event instanceof ChannelInputShutdownEvent) {
            mInputEnded = true;
        }
        super.userEventTriggered(context, event);
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) throws Exception {
        decodeHeld(context);
        super.channelInactive(context);
    }

    /** Decodes what was read before a failure: it may hold the end of a response. */
    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause)
            throws Exception {
        try {
            decodeHeld(context);
        } catch (DecoderException e) {
            context.fireExceptionCaught(e);
        }
        super.exceptionCaught(context, cause);
    }

    private void decodeHeld(final ChannelHandlerContext context) throws Exception {
        mInputEnded = true;
        if (isBehind()) {
            mDecodingHeld = true;
            channelRead(context, Unpooled.EMPTY_BUFFER);
            mDecodingHeld = false;
        }
    }

    /** Returns whether bytes are being decoded that were read before the connection was lost. */
    boolean isDecodingHeld() {
        return mDecodingHeld;
    }

    /** Returns whether bytes are kept that are decoded in a later turn. */
    boolean isBehind() {
        return mReading.isDecoderBehind();
    }

    /** Records the method of a request: its response has no body if that is HEAD. */
    void requestSent(final HttpMethod method) {
        mAfterHeadRequest = method.equals(HttpMethod.HEAD);
    }

    @Override
    protected boolean isContentAlwaysEmpty(final HttpMessage message) {
        return mAfterHeadRequest || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected String splitFirstWordInitialLine(
            final byte[] line, final int start, final int length) {
        final String version = super.splitFirstWordInitialLine(line, start, length);
        if (!version.equals("HTTP/1.1") && !version.equals("HTTP/1.0")) {
            throw new IllegalArgumentException("status line with version " + version);
        }
        mVersionEnd = start + length;
        return version;
    }

    @Override
    protected String splitSecondWordInitialLine(
            final byte[] line, final int start, final int length) {
        if (start != mVersionEnd + 1 || line[mVersionEnd] != ' ' || length != STATUS_DIGITS) {
            throw new IllegalArgumentException("no three digits after the version and a space");
        }
        if (!isStatus(line, start)) {
            throw new IllegalArgumentException("status that is not of 100 to 599");
        }
        return super.splitSecondWordInitialLine(line, start, length);
    }

    /** Returns whether three bytes are digits, the first of them that of a class of statuses. */
    private static boolean isStatus(final byte[] line, final int start) {
        return line[start] >= '1'
                && line[start] <= '5'
                && isDigit(line[start + 1])
                && isDigit(line[start + 2]);
    }

    private static boolean isDigit(final byte octet) {
        return octet >= '0' && octet <= '9';
    }

    @Override
    protected AsciiString splitHeaderName(final byte[] line, final int start, final int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("no colon after the name of a field");
        }
        return super.splitHeaderName(line, start, length);
    }

    /** Returns the number of bytes that were received and not decoded yet. */
    int unreadBytes() {
        return actualReadableBytes();
    }

    /** Returns what these bytes are. */
    LeftOver leftOver() {
        return unreadBytes() == 0 ? LeftOver.NOTHING : LeftOver.of(internalBuffer());
    }
}
