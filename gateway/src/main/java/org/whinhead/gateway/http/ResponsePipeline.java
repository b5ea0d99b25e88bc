package org.whinhead.gateway.http;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.function.BooleanSupplier;

/**
 * The handlers that decode the responses on a connection and limit what is no response.
 *
 * <p>A server may send such bytes until its connection is closed. When a limit is exceeded, the
 * next handler gets an {@link OverlongResponseException} and nothing after it; it has to close the
 * connection. Bodies are not limited.
 *
 * <p>The connection must allow half closure: only then is it known that the server has closed it in
 * order, which ends a response without a length. The handlers close the connection then.
 */
public final class ResponsePipeline {

    /** The longest status line, and the longest line with the size of a chunk. */
    private static final int MAX_LINE_BYTES = 4 * 1024;

    /** The most bytes of header fields, and of trailers. */
    private static final int MAX_HEADER_BYTES = 8 * 1024;

    /** The largest part of a body that is passed on at once. */
    public static final int MAX_CONTENT_BYTES = 8 * 1024;

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2 * 1024;
    private static final int MAX_READ_BYTES = 16 * 1024;

    /**
     * The reads of one connection before others get their turn. A server that sends as fast as it
     * can would take 16 reads of 64 KiB by default, which delays the others of the event loop.
     */
    private static final int READS_PER_TURN = 4;

    private ResponsePipeline() {}

    /**
     * Adds the handlers to a connection.
     *
     * @param pipeline the handlers of the connection
     * @param awaited returns whether a response is awaited; other bytes are refused
     * @return the state of the response
     */
    public static ResponseProgress addTo(
            final ChannelPipeline pipeline, final BooleanSupplier awaited) {
        final ResponseProgress progress = new ResponseProgress();
        final ResponseDecoder decoder =
                new ResponseDecoder(
                        new HttpDecoderConfig()
                                .setMaxInitialLineLength(MAX_LINE_BYTES)
                                .setMaxHeaderSize(MAX_HEADER_BYTES)
                                .setMaxChunkSize(MAX_CONTENT_BYTES));
        pipeline.addLast(new UndecodedByteLimit(progress, awaited))
                .addLast(decoder)
                .addLast(new HttpRequestEncoder())
                .addLast(new RequestMethodHandler(decoder))
                .addLast(new ResponseMessageLimit(progress, decoder));
        return progress;
    }

    /**
     * Returns the sizes of the reads on a connection to an endpoint.
     *
     * @return the allocator of the buffers
     */
    public static RecvByteBufAllocator readSizes() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                .maxMessagesPerRead(READS_PER_TURN);
    }
}
