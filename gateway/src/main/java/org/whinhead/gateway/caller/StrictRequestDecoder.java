package org.whinhead.gateway.caller;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Refuses requests whose end is ambiguous.
 *
 * <p>A request with both a length and chunks ends at one place for this daemon and perhaps at
 * another for an endpoint; what lies between would run as a request that no caller has sent.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    private static final int MAX_REQUEST_LINE_BYTES = 8_192;

    StrictRequestDecoder(final int mostHeaderBytes) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                        .setMaxHeaderSize(mostHeaderBytes)
                        .setAllowDuplicateContentLengths(false));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(final HttpMessage message) {
        throw new IllegalArgumentException("both a length and chunks");
    }
}
