package org.whinhead.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.nio.charset.StandardCharsets;

/** Decodes the responses on a connection that carries one request at a time. */
final class ResponseDecoder extends HttpResponseDecoder {

    private static final int FIRST_PRINTABLE = 0x20;
    private static final int LAST_PRINTABLE = 0x7e;

    private boolean mAfterHeadRequest;

    ResponseDecoder(final HttpDecoderConfig config) {
        super(config);
    }

    /** Records the method of a request: its response has no body if that is HEAD. */
    void requestSent(final HttpMethod method) {
        mAfterHeadRequest = method.equals(HttpMethod.HEAD);
    }

    @Override
    protected boolean isContentAlwaysEmpty(final HttpMessage message) {
        return mAfterHeadRequest || super.isContentAlwaysEmpty(message);
    }

    /** Returns the number of bytes that were received and not decoded yet. */
    int unreadBytes() {
        return actualReadableBytes();
    }

    /**
     * Returns the begin of the bytes that were received and not decoded yet.
     *
     * @param maxBytes the most bytes
     * @return the bytes as text; those that are not printable are dots
     */
    String unreadBegin(final int maxBytes) {
        final ByteBuf unread = internalBuffer();
        final int length = Math.min(unread.readableBytes(), maxBytes);
        final StringBuilder text = new StringBuilder(length);
        unread.toString(unread.readerIndex(), length, StandardCharsets.ISO_8859_1)
                .chars()
                .map(code -> code < FIRST_PRINTABLE || code > LAST_PRINTABLE ? '.' : code)
                .forEach(code -> text.append((char) code));
        return text.toString();
    }
}
