package org.whinhead.gateway.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import java.util.Optional;

/**
 * Passes on final responses only: drops interim ones up to a limit, fails if the decoder found a
 * part too long, and marks heads as not decoded that are not one response's own.
 *
 * <p>An interim response that is passed on would count as the final one, which would then be
 * received by the next request on the connection.
 */
final class ResponseMessageLimit extends ChannelInboundHandlerAdapter {

    /** A server sends one or two; each costs some work and no memory. */
    private static final int MAX_INTERIM_RESPONSES = 16;

    private final ResponseProgress mProgress;
    private final ResponseDecoder mDecoder;
    private boolean mInInterim;

    ResponseMessageLimit(final ResponseProgress progress, final ResponseDecoder decoder) {
        mProgress = progress;
        mDecoder = decoder;
    }

    @Override
    public void channelRead(final ChannelHandlerContext context, final Object message) {
        if (mProgress.isFailed()) {
            ReferenceCountUtil.release(message);
            return;
        }
        if (isCutEnd(context, message)) {
            mProgress.fail();
            ReferenceCountUtil.release(message);
            context.fireExceptionCaught(new IOException("connection lost within response"));
            return;
        }
        final Optional<OverlongPart> overlong = check(message);
        if (overlong.isPresent()) {
            mProgress.fail();
            ReferenceCountUtil.release(message);
            context.fireExceptionCaught(new OverlongResponseException(overlong.get()));
        } else if (isOfInterim(message)) {
            ReferenceCountUtil.release(message);
        } else {
            context.fireChannelRead(message);
        }
    }

    /**
     * Returns whether a message is the end of a response without a length that its server has not
     * ended: the decoder ends it however its connection was closed.
     */
    private boolean isCutEnd(final ChannelHandlerContext context, final Object message) {
        return message instanceof LastHttpContent
                && !context.channel().isActive()
                && !mDecoder.isDecodingHeld()
                && !mProgress.isInputEnded();
    }

    @Override
    public void userEventTriggered(final ChannelHandlerContext context, final Object event) {
        context.fireUserEventTriggered(event);
        if (event instanceof ChannelInputShutdownEvent) {
            context.close();
        }
    }

    private Optional<OverlongPart> check(final Object message) {
        mProgress.messageDecoded();
        final Optional<OverlongPart> overlong = overlongPart(message);
        if (overlong.isPresent()) {
            return overlong;
        }
        if (message instanceof HttpResponse response) {
            checkHead(response);
            mInInterim =
                    response.decoderResult().isSuccess()
                            && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
            if (mInInterim) {
                mProgress.interimReceived();
            } else {
                mProgress.headReceived();
            }
            final boolean switches =
                    response.status().code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code();
            if (switches || mProgress.interimResponses() > MAX_INTERIM_RESPONSES) {
                return Optional.of(OverlongPart.INTERIM_RESPONSES);
            }
        }
        return Optional.empty();
    }

    /** Marks a head that was read from two as not decoded. */
    private void checkHead(final HttpResponse response) {
        final Optional<String> place = JoinedHead.find(response);
        mProgress.joinedHead(place);
        if (place.isPresent()) {
            markNotDecoded(response, "status line within " + place.get());
        } else if (hasOtherTransferCoding(response)) {
            markNotDecoded(response, "unknown transfer coding");
        }
    }

    /** Returns whether the body is in a coding that is not decoded here, nor stated to callers. */
    private static boolean hasOtherTransferCoding(final HttpResponse response) {
        return response.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).stream()
                .anyMatch(coding -> !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(coding));
    }

    private static void markNotDecoded(final HttpResponse response, final String reason) {
        response.setDecoderResult(DecoderResult.failure(new IOException(reason)));
    }

    private Optional<OverlongPart> overlongPart(final Object message) {
        return message instanceof HttpObject object && object.decoderResult().isFailure()
                ? OverlongPart.of(object.decoderResult().cause(), mProgress.isInBody())
                : Optional.empty();
    }

    /** Returns whether a message belongs to an interim response; also notes the end of any. */
    private boolean isOfInterim(final Object message) {
        final boolean interim = mInInterim;
        if (message instanceof LastHttpContent) {
            mInInterim = false;
            mProgress.ended();
            if (!interim) {
                mProgress.leftOver(mDecoder.leftOver(), mDecoder.unreadBytes());
            }
        }
        return interim;
    }
}
