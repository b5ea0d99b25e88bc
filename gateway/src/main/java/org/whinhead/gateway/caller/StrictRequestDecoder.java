package org.whinhead.gateway.caller;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes requests and rejects those with an ambiguous body length.
 *
 * <p>A request with both Content-Length and chunked encoding may end at different bytes for this
 * daemon and for an endpoint; the bytes between would run as a request that no caller sent (request
 * smuggling).
 */
final class StrictRequestDecoder extends HttpRequestDecoder {

    private static final int MAX_REQUEST_LINE_BYTES = 8_192;

    StrictRequestDecoder(final int maxHeaderBytes) {
        super(
                new HttpDecoderConfig()
                        .setMaxInitialLineLength(MAX_REQUEST_LINE_BYTES)
                        .setMaxHeaderSize(maxHeaderBytes)
                        .setAllowDuplicateContentLengths(false));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(final HttpMessage message) {
        throw new IllegalArgumentException("both Content-Length and chunked Transfer-Encoding");
    }
}
