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
    private EndpointResponseListener mListener;
    private ChannelFuture mWritten;
    private EndpointResponse mResponse;
    private Duration mIdleTimeout;
    private boolean mReusable = true;

    EndpointConnection(final EndpointProtocol protocol, final EndpointConnections.Pool pool) {
        mProtocol = protocol;
        mPool = pool;
        mIdleTimeout = EndpointConnections.DEFAULT_IDLE_TIMEOUT;
    }

    void setChannel(final Channel channel) {
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
    public void send(
            final HttpRequest head, final ByteBuf body, final EndpointResponseListener listener) {
        mListener = listener;
        mResponse = null;
        mChannel.write(head);
        mWritten = mChannel.writeAndFlush(new DefaultLastHttpContent(body));
    }

    /** Gives the connection back without having sent anything. */
    public void release() {
        mPool.release(this);
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
    public void setReading(final boolean reading) {
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
        if (response.decoderResult().isFailure() || mResponse != null) {
            fail(EndpointFailure.NOT_HTTP);
            return;
        }
        mResponse = mProtocol.decode(response);
        mIdleTimeout = mResponse.idleTimeout().orElse(EndpointConnections.DEFAULT_IDLE_TIMEOUT);
        if (mResponse.closesConnection()) {
            mReusable = false;
        }
        mListener.headReceived(mResponse);
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
        final EndpointResponseListener listener = mListener;
        mListener = null;
        if (mWritten.isDone() && mReusable) {
            mChannel.config().setAutoRead(true);
            mChannel.eventLoop().execute(() -> mPool.release(this));
        } else {
            mReusable = false;
            mChannel.close();
        }
        listener.completed();
    }

    private void fail(final EndpointFailure failure) {
        final EndpointResponseListener listener = mListener;
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
        mPool.remove(this);
        fail(EndpointFailure.CONNECTION_LOST);
    }

    @Override
    public void exceptionCaught(final ChannelHandlerContext context, final Throwable cause) {
        fail(EndpointFailure.CONNECTION_LOST);
    }
}
