package org.whinhead.gateway.http;

import io.netty.channel.ChannelPipeline;
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
 *
 * <p>They decode a bounded number of chunks in a turn of the event loop and pass the contents of
 * small ones on together. A server that sends its body in chunks of a byte would otherwise cause
 * thousands of messages with each read.
 */
public final class ResponsePipeline {

    /** The longest status line, and the longest line with the size of a chunk. */
    private static final int MAX_LINE_BYTES = 4 * 1024;

    /** The most bytes of header fields, and of trailers. */
    private static final int MAX_HEADER_BYTES = 8 * 1024;

    /** The largest part of a body that is passed on at once. */
    public static final int MAX_CONTENT_BYTES = 8 * 1024;

    private ResponsePipeline() {}

    /**
     * Adds the handlers to a connection that takes its turns by itself.
     *
     * @param pipeline the handlers of the connection
     * @param awaited returns whether a response is awaited; other bytes are refused
     * @return the state of the response
     */
    public static ResponseProgress addTo(
            final ChannelPipeline pipeline, final BooleanSupplier awaited) {
        return addTo(pipeline, awaited, new DecodeQueue());
    }

    /**
     * Adds the handlers to a connection.
     *
     * @param pipeline the handlers of the connection
     * @param awaited returns whether a response is awaited; other bytes are refused
     * @param queue shares the turns of the event loop with other connections
     * @return the state of the response
     */
    public static ResponseProgress addTo(
            final ChannelPipeline pipeline,
            final BooleanSupplier awaited,
            final DecodeQueue queue) {
        final ReadControl reading = new ReadControl(pipeline.channel());
        final ResponseProgress progress = new ResponseProgress(reading);
        final ResponseDecoder decoder =
                new ResponseDecoder(
                        new HttpDecoderConfig()
                                .setMaxInitialLineLength(MAX_LINE_BYTES)
                                .setMaxHeaderSize(MAX_HEADER_BYTES)
                                .setMaxChunkSize(MAX_CONTENT_BYTES),
                        reading,
                        queue);
        pipeline.addLast(new UndecodedByteLimit(progress, awaited))
                .addLast(decoder)
                .addLast(new HttpRequestEncoder())
                .addLast(new RequestMethodHandler(decoder))
                .addLast(new ResponseMessageLimit(progress, decoder));
        return progress;
    }
}
