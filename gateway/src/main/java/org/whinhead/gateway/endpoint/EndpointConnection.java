package org.whinhead.gateway.endpoint;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;

/**
 * One connection to an endpoint, which carries one request at a time.
 *
 * <p>It goes back to the pool only after the request is written, the answer is whole, and the event
 * loop has read everything that came with it: an endpoint may send another answer right behind, and
 * whoever used the connection next would take that for its own.
 */
public final class EndpointConnection extends ChannelInboundHandlerAdapter {

    private final EndpointProtocol mProtocol;
    private final EndpointConnections.Pool mPool;
    private Channel mChannel;
    private AnswerListener mListener;
    private ChannelFuture mWritten;
    private EndpointAnswer mAnswer;
    private Duration mIdleTimeout;
    private boolean mReusable = true;

    EndpointConnection(final EndpointProtocol protocol, final EndpointConnections.Pool pool) {
        mProtocol = protocol;
        mPool = pool;
        mIdleTimeout = EndpointConnections.USUAL_IDLE_TIMEOUT;
    }

    void opened(final Channel channel) {
        mChannel = channel;
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
     * @param head its head
     * @param body its body, which this call releases
     * @param listener hears the answer
     */
    public void send(final HttpRequest head, final ByteBuf body, final AnswerListener listener) {
        mListener = listener;
        mAnswer = null;
        mChannel.write(head);
        mWritten = mChannel.writeAndFlush(new DefaultLastHttpContent(body));
    }

    /** Gives the connection back without having sent anything. */
    public void unused() {
        mPool.giveBack(this);
    }

    /** Stops listening and closes the connection, at which endpoints drop the request. */
    public void cancel() {
        mListener = null;
        mReusable = false;
        mChannel.close();
    }

    /**
     * Reads on or pauses, as the caller keeps up or not.
     *
     * @param reading whether to read
     */
    public void reading(final boolean reading) {
        mChannel.config().setAutoRead(reading);
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message) {
        try {
            if (mListener == null) {
                mReusable = false;
                context.close();
                return;
            }
            if (message instanceof HttpResponse response) {
                head(response);
            }
            if (message instanceof HttpContent content && mListener != null) {
                content(content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void head(final HttpResponse response) {
        if (response.decoderResult().isFailure() || mAnswer != null) {
            fail(EndpointFailure.NOT_HTTP);
            return;
        }
        mAnswer = mProtocol.decode(response);
        mIdleTimeout = mAnswer.idleTimeout().orElse(EndpointConnections.USUAL_IDLE_TIMEOUT);
        if (mAnswer.closes()) {
            mReusable = false;
        }
        mListener.head(mAnswer);
    }

    private void content(final HttpContent content) {
        if (content.decoderResult().isFailure() || mAnswer == null) {
            fail(EndpointFailure.NOT_HTTP);
            return;
        }
        if (content.content().isReadable()) {
            mListener.body(content.content());
        }
        if (content instanceof LastHttpContent && mListener != null) {
            end();
        }
    }

    private void end() {
        final AnswerListener listener = mListener;
        mListener = null;
        if (mWritten.isDone() && mReusable) {
            mChannel.config().setAutoRead(true);
            mChannel.eventLoop().execute(() -> mPool.giveBack(this));
        } else {
            mReusable = false;
            mChannel.close();
        }
        listener.end();
    }

    private void fail(final EndpointFailure failure) {
        final AnswerListener listener = mListener;
        mListener = null;
        mReusable = false;
        mChannel.close();
        if (listener != null) {
            listener.failed(failure);
        }
    }

    /**
     * Fails what is under way, as the endpoint that worked on it is no more. Its connections may be
     * silent instead of reset, and a caller would wait for its answer until the deadline.
     */
    void endpointRestarted() {
        fail(EndpointFailure.CONNECTION_LOST);
    }

    @Override
    public void userEventTriggered(final ChannelHandlerContext context, final Object event) {
        if (event instanceof IdleStateEvent && mListener == null) {
            mReusable = false;
            context.close();
        }
    }

    @Override
    public void channelInactive(final ChannelHandlerContext context) {
        mPool.closed(this);
        fail(EndpointFailure.CONNECTION_LOST);
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
        fail(EndpointFailure.CONNECTION_LOST);
    }
}
