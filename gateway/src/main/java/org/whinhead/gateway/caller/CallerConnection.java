package org.whinhead.gateway.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.endpoint.EndpointResponse;
import org.whinhead.gateway.http.ConnectionExceptions;

/**
 * One connection of a caller, which serves its requests one after the other.
 *
 * <p>The connection is read all the time, since only a read shows that the caller has disconnected.
 * Pipelined requests are queued; reading pauses while the queue is full.
 *
 * <p>A connection owes its caller each response until its last byte was handed to the system, and
 * is not closed before. A caller that reads no byte of it for two idle timeouts is given up.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements CallerResponse {

    private static final Logger LOG = LoggerFactory.getLogger(CallerConnection.class);

    private static final int MAX_QUEUED_MESSAGES = 64;

    private static final int FIRST_BODY_BYTES = 16 * 1024;

    /** A body that takes up room is held for as long as its request takes, often some seconds. */
    private static final Duration NO_ROOM_RETRY_DELAY = Duration.ofSeconds(1);

    /** The time that a caller which is refused within its body gets to read the refusal. */
    private static final Duration REFUSED_CALLER_TIME = Duration.ofMillis(300);

    /** The decimals of the seconds in Retry-After, which state milliseconds. */
    private static final int RETRY_AFTER_DECIMALS = 3;

    private final CallerHttpServer mServer;
    private final Deque<Object> mQueued = new ArrayDeque<>();
    private ChannelHandlerContext mContext;
    private StrictRequestDecoder mDecoder;
    private CallerRequest mRequest;
    private ByteBuf mBody;
    private long mReservedBytes;
    private CallerRequestHandler.ActiveRequest mRunning;
    private boolean mServing;
    private boolean mKeepAlive = true;
    private boolean mHeadRequest;
    private boolean mDiscarding;
    private boolean mSeenRequest;
    private boolean mLingering;

    /** Whether a caller that was refused within its body may need time to read the refusal. */
    private boolean mRefusedUnread;

    /** The responses whose last byte was written and has not left the process. */
    private int mUnsentResponses;

    /** Whether the connection closes once it owes nothing to its caller. */
    private boolean mClosing;

    /** Whether the last response didn't announce a close, as a request could follow it. */
    private boolean mCloseWithheld;

    /** The unsent bytes at the last idle timeout. */
    private long mUnsentBytesWhenIdle = Long.MAX_VALUE;

    CallerConnection(final CallerHttpServer server) {
        mServer = server;
    }

    @Override
    public void handlerAdded(final ChannelHandlerContext context) {
        mContext = context;
        mDecoder = context.pipeline().get(StrictRequestDecoder.class);
        mServer.connectionOpened(this);
    }

    /**
     * Returns whether the connection owes something to its caller: a request is received, queued or
     * served, input that may hold one is not decoded yet, or bytes of a response have not left the
     * process.
     *
     * <p>A connection that lingers owes nothing, except for a short time after a refusal of a
     * request whose body was still being sent: a process that ends resets such a connection, and
     * its caller could lose the refusal.
     */
    boolean isBusy() {
        return isAnswering() || mUnsentResponses > 0 || mRefusedUnread;
    }

    private boolean isAnswering() {
        return mServing || mRequest != null || !mQueued.isEmpty() || isDecoderBehind();
    }

    private boolean isDecoderBehind() {
        return !mDiscarding && mDecoder.isBehind();
    }

    boolean hasSeenRequest() {
        return mSeenRequest;
    }

    /** Returns the bytes of responses that were written and have not left the process. */
    long unsentBytes() {
        final ChannelOutboundBuffer buffer = mContext.channel().unsafe().outboundBuffer();
        return buffer == null ? 0 : buffer.totalPendingWriteBytes() - buffer.currentProgress();
    }

    /** Logs what is lost if the connection ends now: unsent bytes and requests without answer. */
    void logUnfinished(final String cause) {
        final long unsentBytes = unsentBytes();
        final long queuedRequests = queuedRequests();
        if (!isBusy() && unsentBytes == 0) {
            return;
        }
        LOG.atWarn()
                .addKeyValue("connection", mContext.channel().id().asShortText())
                .addKeyValue("request", mRequest == null ? "" : mRequest.id())
                .addKeyValue("isServed", mServing)
                .addKeyValue("unsentBytes", unsentBytes)
                .addKeyValue("queuedRequests", queuedRequests)
                .addKeyValue("cause", cause)
                .log("connection ends before its responses");
    }

    private long queuedRequests() {
        return mQueued.stream().filter(HttpRequest.class::isInstance).count();
    }

    /** Closes the connection once its responses are sent, unless it has a request. */
    void closeIfIdle() {
        if (!isAnswering()) {
            closeWhenSent();
        }
    }

    private void closeWhenSent() {
        mClosing = true;
        closeIfSent();
    }

    private void closeIfSent() {
        if (mClosing && !isAnswering() && mUnsentResponses == 0) {
            if (mRefusedUnread && !mLingering) {
                mContext.executor()
                        .schedule(
                                () -> mRefusedUnread = false,
                                REFUSED_CALLER_TIME.toMillis(),
                                TimeUnit.MILLISECONDS);
            }
            mLingering = true;
            mServer.closer().close(mContext.channel());
        }
    }

    private void trackUnsent(final ChannelFuture lastWrite) {
        mUnsentResponses++;
        lastWrite.addListener(
                done -> {
                    mUnsentResponses--;
                    closeIfSent();
                });
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message) {
        // As the caller leaves, the decoder hands over what it still holds.
        if (mDiscarding || !context.channel().isActive()) {
            ReferenceCountUtil.release(message);
        } else if (mServing || !mQueued.isEmpty()) {
            mQueued.add(message);
            if (mQueued.size() > MAX_QUEUED_MESSAGES) {
                context.channel().config().setAutoRead(false);
            }
        } else {
            read(message);
        }
    }

    private void read(final Object message) {
        try {
            if (message instanceof HttpRequest head) {
                readHead(head);
            }
            if (message instanceof HttpContent content && mRequest != null) {
                readContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void readHead(final HttpRequest head) {
        mSeenRequest = true;
        mHeadRequest = head.method().equals(HttpMethod.HEAD);
        if (head.decoderResult().isFailure()) {
            refuseUnread(refusalOf(head.decoderResult().cause()));
            return;
        }
        if (hasOtherTransferCoding(head)) {
            refuseUnread(
                    RefusalResponse.invalid(
                            HttpResponseStatus.BAD_REQUEST, "unknown transfer coding"));
            return;
        }
        mKeepAlive = HttpUtil.isKeepAlive(head);
        try {
            mRequest = mServer.protocol().decode(head);
        } catch (BadRequestException e) {
            refuseUnread(RefusalResponse.invalid(HttpResponseStatus.BAD_REQUEST, e.getMessage()));
            return;
        }
        final long length = HttpUtil.getContentLength(head, 0L);
        if (length > mServer.limits().maxBodyBytes() || !mServer.bodies().isWithin(length)) {
            refuseUnread(tooLarge());
            return;
        }
        // A short body takes room as it comes: a head alone must not keep others out.
        if (length > RequestBodyBudget.SHORT_BYTES && !reserve(length)) {
            refuseUnread(noRoom());
            return;
        }
        if (HttpUtil.is100ContinueExpected(head)) {
            mContext.writeAndFlush(
                    new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
        }
        mBody = mContext.alloc().buffer((int) Math.min(length, FIRST_BODY_BYTES));
    }

    /** Reserves room for the bytes of a body so far, and returns whether there is room. */
    private boolean reserve(final long bodyBytes) {
        if (bodyBytes <= mReservedBytes) {
            return true;
        }
        if (!mServer.bodies().grow(mReservedBytes, bodyBytes)) {
            return false;
        }
        mReservedBytes = bodyBytes;
        return true;
    }

    private void releaseReserved() {
        mServer.bodies().release(mReservedBytes);
        mReservedBytes = 0;
    }

    /** Returns whether a body is in a coding that is not decoded here, nor stated to endpoints. */
    private static boolean hasOtherTransferCoding(final HttpRequest head) {
        final List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        return !codings.isEmpty()
                && !(codings.size() == 1
                        && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0)));
    }

    private static RefusalResponse refusalOf(final Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            return RefusalResponse.invalid(
                    HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, "head too long");
        }
        return RefusalResponse.invalid(HttpResponseStatus.BAD_REQUEST, "unreadable head");
    }

    private static RefusalResponse tooLarge() {
        return RefusalResponse.invalid(
                HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "body too long");
    }

    private static RefusalResponse noRoom() {
        return RefusalResponse.notRun("no room for the body", NO_ROOM_RETRY_DELAY);
    }

    private void readContent(final HttpContent content) {
        if (content.decoderResult().isFailure()) {
            refuseUnread(
                    RefusalResponse.invalid(HttpResponseStatus.BAD_REQUEST, "unreadable body"));
            return;
        }
        final long bytes = mBody.readableBytes() + (long) content.content().readableBytes();
        if (bytes > mServer.limits().maxBodyBytes() || !mServer.bodies().isWithin(bytes)) {
            refuseUnread(tooLarge());
            return;
        }
        if (!reserve(bytes)) {
            refuseUnread(noRoom());
            return;
        }
        mBody.writeBytes(content.content());
        if (content instanceof LastHttpContent) {
            serve();
        }
    }

    private void serve() {
        mServing = true;
        final ByteBuf body = mBody;
        mBody = null;
        final CallerRequestHandler.ActiveRequest running =
                mServer.handler().serve(mRequest, body, this);
        mRunning = mServing ? running : null;
    }

    /** Refuses a request whose body is still being received, if the process is about to end. */
    void refuseIfIncomplete() {
        if (mServer.isRefusingIncomplete() && mRequest != null && !mServing && !isDecoderBehind()) {
            refuseUnread(RefusalResponse.notRun("stopping", Duration.ZERO));
        }
    }

    @Override
    public void channelReadComplete(final ChannelHandlerContext context) {
        refuseIfIncomplete();
        if (mCloseWithheld && !isAnswering() && !mDecoder.isWithinRequest()) {
            closeWhenSent();
        } else {
            closeIfSent();
        }
    }

    /** Refuses a request that was not read to its end, and discards all further input. */
    private void refuseUnread(final RefusalResponse refusal) {
        mDiscarding = true;
        mRefusedUnread = true;
        releaseBody();
        mKeepAlive = false;
        mServing = true;
        mServer.logUnreadRefusal(refusal);
        refuse(refusal);
    }

    @Override
    public void start(final EndpointResponse endpointResponse) {
        final HttpResponse response =
                new DefaultHttpResponse(
                        HttpVersion.HTTP_1_1,
                        endpointResponse.status(),
                        endpointResponse.forwardedHeaders());
        // The last chunk would be read as the start of the response after the one to HEAD.
        if (!mHeadRequest && !HttpUtil.isContentLengthSet(response)) {
            HttpUtil.setTransferEncodingChunked(response, true);
        }
        setConnectionHeader(response);
        mContext.write(response);
    }

    /**
     * States whether the connection closes after the response. It does not close before requests
     * that were read; what is read after the statement is not processed (RFC 9112, section 9.6).
     */
    private void setConnectionHeader(final HttpResponse response) {
        final boolean isToClose = mServer.isStopping() || mClosing;
        mCloseWithheld = mKeepAlive && isToClose && mayHaveNextRequest();
        if (!mKeepAlive || (isToClose && !mCloseWithheld)) {
            mKeepAlive = false;
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private boolean mayHaveNextRequest() {
        return queuedRequests() > 0 || isDecoderBehind();
    }

    @Override
    public boolean write(final ByteBuf bytes) {
        mContext.writeAndFlush(new DefaultHttpContent(bytes));
        return mContext.channel().isWritable();
    }

    @Override
    public void finish() {
        finishRequest(mContext.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
    }

    private void releaseBody() {
        if (mBody != null) {
            mBody.release();
            mBody = null;
        }
    }

    @Override
    public void abort() {
        mRunning = null;
        mServing = false;
        closeAfterEarlierResponses();
    }

    /** Drops all requests, and closes the connection once the finished responses are sent. */
    private void closeAfterEarlierResponses() {
        // The close hands over what the decoder still holds.
        mDiscarding = true;
        mRequest = null;
        releaseReserved();
        releaseBody();
        releaseQueued();
        if (mUnsentResponses == 0) {
            mContext.close();
        } else {
            closeWhenSent();
        }
    }

    @Override
    public void refuse(final RefusalResponse refusal) {
        final ByteBuf body =
                mHeadRequest
                        ? Unpooled.EMPTY_BUFFER
                        : Unpooled.copiedBuffer(refusal.reason() + "\n", StandardCharsets.UTF_8);
        final FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, refusal.status(), body);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        refusal.retryAfter().ifPresent(after -> setRetryAfter(response, after));
        HttpUtil.setContentLength(response, response.content().readableBytes());
        setConnectionHeader(response);
        finishRequest(mContext.writeAndFlush(response));
    }

    private static void setRetryAfter(final HttpResponse response, final Duration after) {
        final String seconds =
                BigDecimal.valueOf(after.toMillis(), RETRY_AFTER_DECIMALS).toPlainString();
        response.headers().set(HttpHeaderNames.RETRY_AFTER, seconds);
    }

    private void finishRequest(final ChannelFuture lastWrite) {
        mServing = false;
        mRunning = null;
        mRequest = null;
        releaseReserved();
        if (!mKeepAlive) {
            mDiscarding = true;
            mClosing = true;
            if (queuedRequests() > 0) {
                logUnfinished("response closes connection");
            }
            releaseQueued();
        } else if (!mQueued.isEmpty()) {
            mContext.executor().execute(this::readQueuedOrClose);
        }
        trackUnsent(lastWrite);
    }

    // A task's exception goes past the handlers of the connection.
    private void readQueuedOrClose() {
        try {
            readQueued();
        } catch (RuntimeException e) {
            exceptionCaught(mContext, e);
        }
    }

    private void readQueued() {
        while (!mServing && !mDiscarding && !mQueued.isEmpty()) {
            final Object message = mQueued.poll();
            read(message);
            if (message instanceof HttpRequest && mRequest != null) {
                LOG.atInfo()
                        .addKeyValue("request", mRequest.id())
                        .addKeyValue("connection", mContext.channel().id().asShortText())
                        .log("request was sent before the one before it was answered");
            }
        }
        refuseIfIncomplete();
        if (mQueued.size() <= MAX_QUEUED_MESSAGES) {
            mContext.channel().config().setAutoRead(true);
        }
    }

    @Override
    public void channelWritabilityChanged(final ChannelHandlerContext context) {
        if (mRunning != null && context.channel().isWritable()) {
            mRunning.callerCaughtUp();
        }
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
        mServer.connectionClosed(this);
        releaseQueued();
        releaseBody();
        disconnectRunning();
        releaseReserved();
    }

    private void disconnectRunning() {
        final CallerRequestHandler.ActiveRequest running = mRunning;
        mRunning = null;
        mServing = false;
        if (running != null) {
            running.callerDisconnected();
        }
    }

    private void releaseQueued() {
        mQueued.forEach(ReferenceCountUtil::release);
        mQueued.clear();
    }

    @Override
    public void userEventTriggered(final ChannelHandlerContext context, final Object event) {
        if (!(event instanceof IdleStateEvent) || mServing || mLingering) {
            return;
        }
        if (mRequest != null) {
            refuseUnread(
                    new RefusalResponse(
                            HttpResponseStatus.REQUEST_TIMEOUT,
                            "body not received in time",
                            Optional.empty()));
        } else if (callerReads()) {
            closeWhenSent();
        } else {
            logUnfinished("the caller does not read");
            context.close();
        }
    }

    /**
     * Returns whether the caller has taken bytes since the last idle timeout, if any are unsent.
     */
    private boolean callerReads() {
        final long unsentBytes = unsentBytes();
        final boolean reads = unsentBytes == 0 || unsentBytes < mUnsentBytesWhenIdle;
        mUnsentBytesWhenIdle = unsentBytes == 0 ? Long.MAX_VALUE : unsentBytes;
        return reads;
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
        ConnectionExceptions.log(LOG, "caller", cause);
        if (cause instanceof IOException || mUnsentResponses == 0) {
            context.close();
        } else {
            disconnectRunning();
            closeAfterEarlierResponses();
        }
    }
}
