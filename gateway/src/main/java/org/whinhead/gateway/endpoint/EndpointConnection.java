package org.whinhead.gateway.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.http.ConnectionExceptions;
import org.whinhead.gateway.http.LeftOver;
import org.whinhead.gateway.http.OverlongPart;
import org.whinhead.gateway.http.OverlongResponseException;
import org.whinhead.gateway.http.ResponseProgress;
import org.whinhead.gateway.relay.RelayDrainEvent;
import org.whinhead.gateway.relay.RelayLostException;
import org.whinhead.gateway.relay.RelayPauseNotice;
import org.whinhead.serving.reach.AccessPath;

/**
 * A connection to an endpoint, which carries one request at a time.
 *
 * <p>The connection returns to the pool only after the request is written, the response is
 * complete, and the event loop has read everything that arrived with it, of which nothing is left:
 * an endpoint may send a second response, or the start of one, right after the first, and the next
 * request on the connection would receive it.
 */
public final class EndpointConnection extends ChannelInboundHandlerAdapter {

    private static final Logger LOG = LoggerFactory.getLogger(EndpointConnection.class);

    private final EndpointProtocol mProtocol;
    private final EndpointConnections.Pool mPool;
    private final InstantSource mClock;
    private Channel mChannel;
    private AccessPath mPath;
    private Instant mOpenedAt;
    private Instant mSentAt;
    private Instant mLastReadAt;
    private boolean mPathLost;
    private boolean mAnswered;
    private EndpointResponseListener mListener;
    private ChannelFuture mWritten;
    private EndpointResponse mResponse;
    private Duration mIdleTimeout;
    private boolean mReusable = true;
    private ResponseProgress mProgress;
    private boolean mLengthStated;
    private boolean mEndStated;
    private int mResponses;
    private Optional<String> mAnsweredRequest = Optional.empty();
    private boolean mOverlong;
    private boolean mRelayEnded;

    EndpointConnection(
            final EndpointProtocol protocol,
            final EndpointConnections.Pool pool,
            final InstantSource clock) {
        mProtocol = protocol;
        mPool = pool;
        mClock = clock;
        mIdleTimeout = EndpointConnections.DEFAULT_IDLE_TIMEOUT;
    }

    @Override
    public void handlerAdded(final ChannelHandlerContext context) {
        mChannel = context.channel();
    }

    /** Starts the use of the open connection. */
    void opened(final AccessPath path) {
        mPath = path;
        mOpenedAt = mClock.instant();
        mLastReadAt = mOpenedAt;
        mPool.add(this);
    }

    /** Sets the state of the handlers that decode the responses. */
    void setProgress(final ResponseProgress progress) {
        mProgress = progress;
    }

    boolean isAwaiting() {
        return mListener != null;
    }

    /** Returns whether the connection was closed since its endpoint sent too many bytes. */
    boolean isOverlong() {
        return mOverlong;
    }

    /** Returns whether the daemon that relays the connection stops, or was lost. */
    boolean hasRelayEnded() {
        return mRelayEnded;
    }

    AccessPath path() {
        return mPath;
    }

    Instant openedAt() {
        return mOpenedAt;
    }

    Channel channel() {
        return mChannel;
    }

    /** Returns the number of whole responses that were received. */
    int responses() {
        return mResponses;
    }

    EndpointConnections.Pool pool() {
        return mPool;
    }

    boolean isUsable() {
        return mReusable && mChannel.isActive();
    }

    Duration idleTimeout() {
        return mIdleTimeout;
    }

    /**
     * Sends a request.
     *
     * @param head the head of the request
     * @param body the body, which this call releases
     * @param listener receives the response
     */
    public void send(
            final HttpRequest head, final ByteBuf body, final EndpointResponseListener listener) {
        mListener = listener;
        mResponse = null;
        mSentAt = mClock.instant();
        mPathLost = false;
        mChannel.write(head);
        mWritten = mChannel.writeAndFlush(new DefaultLastHttpContent(body));
    }

    /**
     * Returns the time since this connection was opened.
     *
     * @return the age of the connection
     */
    public Duration age() {
        return Duration.between(mOpenedAt, mClock.instant());
    }

    /**
     * Returns the time since anything was received on this connection.
     *
     * @return the time since the last read, or since the connection was opened
     */
    public Duration silentFor() {
        return Duration.between(mLastReadAt, mClock.instant());
    }

    /**
     * Returns since when a response or its next part has been awaited.
     *
     * @return the time of the request or of the last read; empty if nothing is awaited, or if
     *     reading is paused
     */
    Optional<Instant> waitingSince() {
        if (mListener == null || !mChannel.config().isAutoRead()) {
            return Optional.empty();
        }
        return Optional.of(mSentAt.isAfter(mLastReadAt) ? mSentAt : mLastReadAt);
    }

    /** Informs the listener, once for each request, that the way to the endpoint is lost. */
    void pathLost() {
        if (mListener != null && !mPathLost) {
            mPathLost = true;
            mListener.pathLost();
        }
    }

    /**
     * Tells the daemon that relays this connection, if any, that the endpoint wants nothing from it
     * for a time: the endpoint takes that daemon for the sender.
     *
     * @param length the time
     */
    public void pauseRequested(final Duration length) {
        if (mPath == AccessPath.RELAYED) {
            mChannel.writeAndFlush(new RelayPauseNotice(length));
        }
    }

    /** Returns the unused connection to the pool. */
    public void release() {
        mPool.release(this);
    }

    /** Closes the connection without notice to the listener; endpoints then drop the request. */
    public void cancel() {
        if (mPathLost && mListener != null) {
            // Otherwise the request would be sent to the endpoint once the way is open again.
            mChannel.config().setOption(ChannelOption.SO_LINGER, 0);
        }
        mListener = null;
        mReusable = false;
        mChannel.close();
    }

    /**
     * Resumes or pauses reading, depending on whether the caller reads fast enough.
     *
     * @param reading true to read, false to pause
     */
    public void setReading(final boolean reading) {
        if (mProgress == null) {
            mChannel.config().setAutoRead(reading);
        } else {
            mProgress.reading().setWanted(reading);
        }
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message) {
        mLastReadAt = mClock.instant();
        mPool.received(this, mLastReadAt);
        try {
            if (mListener == null) {
                failOverlong(OverlongPart.AFTER_RESPONSE);
                return;
            }
            if (message instanceof HttpResponse response) {
                readHead(response);
            }
            if (message instanceof HttpContent content && mListener != null) {
                readContent(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void readHead(final HttpResponse response) {
        final Optional<String> joined = joinedHead();
        if (joined.isPresent()) {
            mPool.headJoined(this, response.status().code(), joined.get());
            fail(EndpointFailure.JOINED_HEAD);
            return;
        }
        if (response.decoderResult().isFailure() || mResponse != null) {
            fail(EndpointFailure.NOT_HTTP);
            return;
        }
        if (!mAnswered && mPath == AccessPath.DIRECT) {
            mPool.reachedDirectly();
        }
        mAnswered = true;
        mResponse = mProtocol.decode(response);
        logRepeatedAnswer();
        mLengthStated = HttpUtil.isContentLengthSet(response);
        mEndStated = mLengthStated || HttpUtil.isTransferEncodingChunked(response);
        mIdleTimeout = mResponse.idleTimeout().orElse(EndpointConnections.DEFAULT_IDLE_TIMEOUT);
        if (mResponse.closesConnection()) {
            mReusable = false;
        }
        mListener.headReceived(mResponse);
    }

    private Optional<String> joinedHead() {
        return mProgress == null ? Optional.empty() : mProgress.joinedHead();
    }

    private void logRepeatedAnswer() {
        if (mResponse.requestId().isPresent() && mResponse.requestId().equals(mAnsweredRequest)) {
            mPool.answeredAgain(this, mResponse);
        }
        mAnsweredRequest = mResponse.requestId();
    }

    private void readContent(final HttpContent content) {
        if (content.decoderResult().isFailure() || mResponse == null) {
            fail(EndpointFailure.NOT_HTTP);
            return;
        }
        if (content.content().isReadable()) {
            mListener.bodyReceived(content.content());
        }
        if (content instanceof LastHttpContent && mListener != null) {
            complete();
        }
    }

    private void complete() {
        final ResponseEnd end = responseEnd();
        if (end == ResponseEnd.CONNECTION_CLOSED && !mEndStated && !mWritten.isSuccess()) {
            // An endpoint that closes before it has read the request resets the connection.
            fail(EndpointFailure.CONNECTION_LOST);
            return;
        }
        final EndpointResponseListener listener = mListener;
        mListener = null;
        mResponses++;
        final LeftOver leftOver = leftOver();
        if (leftOver != LeftOver.NOTHING) {
            mPool.leftOver(this, leftOver, mProgress.leftOverBytes());
            // The decoder would read the next head as the rest of what it holds.
            mReusable = false;
        }
        if (mWritten.isDone() && mReusable && end == ResponseEnd.DECLARED) {
            setReading(true);
            mChannel.eventLoop().execute(() -> mPool.release(this));
        } else {
            mReusable = false;
            mChannel.close();
        }
        listener.completed(end);
    }

    private LeftOver leftOver() {
        return mProgress == null ? LeftOver.NOTHING : mProgress.leftOver();
    }

    private ResponseEnd responseEnd() {
        if (mProgress != null && mProgress.isInputEnded()) {
            return ResponseEnd.CONNECTION_CLOSED;
        }
        return switch (leftOver()) {
            case NOTHING, LINE_ENDS -> ResponseEnd.DECLARED;
            case RESPONSE, OTHER -> ResponseEnd.EXCEEDED;
        };
    }

    private void fail(final EndpointFailure failure) {
        final EndpointResponseListener listener = mListener;
        if (failure == EndpointFailure.CONNECTION_LOST && isUnanswered()) {
            mPool.endedUnanswered(this);
        }
        mListener = null;
        mReusable = false;
        mChannel.close();
        if (listener != null) {
            listener.failed(failure);
        }
    }

    /** Returns whether a request was sent and nothing of its response was received. */
    private boolean isUnanswered() {
        return mListener != null && mResponse == null && !hasUndecoded();
    }

    /**
     * Fails the request in progress, if any, and closes the connection, as its endpoint sends too
     * many bytes that are no response.
     *
     * @param part the part that is too long
     */
    public void failOverlong(final OverlongPart part) {
        if (mListener != null) {
            logOverlong(part);
        } else if (mReusable) {
            logOverlong(OverlongPart.AFTER_RESPONSE);
        }
        fail(EndpointFailure.OVERLONG);
    }

    /**
     * Logs and counts that the endpoint sends too many bytes that are no response.
     *
     * @param part the part that is too long
     */
    public void logOverlong(final OverlongPart part) {
        mOverlong = true;
        mPool.overlong(this, part);
    }

    /**
     * Returns the part of a response without a known end that is being received.
     *
     * @return the part; empty if nothing or a body with a length is being received
     */
    public Optional<OverlongPart> unfinishedPart() {
        if (mListener == null) {
            return Optional.empty();
        }
        if (mResponse != null) {
            return mLengthStated ? Optional.empty() : Optional.of(OverlongPart.UNFINISHED_BODY);
        }
        return mProgress != null && mProgress.hasUndecoded()
                ? Optional.of(OverlongPart.UNFINISHED_HEAD)
                : Optional.empty();
    }

    /** Returns whether bytes were received since the last part of the response. */
    public boolean hasUndecoded() {
        return mProgress != null && mProgress.hasUndecoded();
    }

    /**
     * Closes the connection, as its endpoint has restarted: it may be silent instead of reset, and
     * the caller would wait until its deadline. The request in progress fails with the end of the
     * connection, unless what was read holds the rest of its response.
     */
    void endpointRestarted() {
        mReusable = false;
        mChannel.close();
    }

    @Override
    public void userEventTriggered(final ChannelHandlerContext context, final Object event) {
        final boolean drain = event == RelayDrainEvent.INSTANCE;
        if (drain) {
            mRelayEnded = true;
            mReusable = false;
        }
        if ((drain || event instanceof IdleStateEvent) && mListener == null) {
            mReusable = false;
            context.close();
        }
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
        mPool.remove(this);
        fail(EndpointFailure.CONNECTION_LOST);
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
        if (cause instanceof OverlongResponseException overlong) {
            failOverlong(overlong.part());
            return;
        }
        ConnectionExceptions.log(LOG, "endpoint", cause);
        mRelayEnded |= cause instanceof RelayLostException;
        fail(
                cause instanceof RelayLostException
                        ? EndpointFailure.RELAY_LOST
                        : EndpointFailure.CONNECTION_LOST);
    }
}
