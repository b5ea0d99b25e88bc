package org.whinhead.gateway.http;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/**
 * Decodes the responses on a connection that carries one request at a time.
 *
 * <p>It is stricter than its base class, which takes "Date HTTP/1.1 500" for a field "Date": a
 * status line that follows a begun field would be dropped.
 */
final class ResponseDecoder extends HttpResponseDecoder {

    private static final int STATUS_DIGITS = 3;

    private boolean mAfterHeadRequest;
    private int mVersionEnd;

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

    @Override
    protected String splitFirstWordInitialLine(
            final byte[] line, final int start, final int length) {
        final String version = super.splitFirstWordInitialLine(line, start, length);
        if (!version.equals("HTTP/1.1") && !version.equals("HTTP/1.0")) {
            throw new IllegalArgumentException("status line with version " + version);
        }
        mVersionEnd = start + length;
        return version;
    }

    @Override
    protected String splitSecondWordInitialLine(
            final byte[] line, final int start, final int length) {
        if (start != mVersionEnd + 1 || line[mVersionEnd] != ' ' || length != STATUS_DIGITS) {
            throw new IllegalArgumentException("no three digits after the version and a space");
        }
        return super.splitSecondWordInitialLine(line, start, length);
    }

    @Override
    protected AsciiString splitHeaderName(final byte[] line, final int start, final int length) {
        if (line[start + length] != ':') {
            throw new IllegalArgumentException("no colon after the name of a field");
        }
        return super.splitHeaderName(line, start, length);
    }

    /** Returns the number of bytes that were received and not decoded yet. */
    int unreadBytes() {
        return actualReadableBytes();
    }

    /** Returns what these bytes are. */
    LeftOver leftOver() {
        return unreadBytes() == 0 ? LeftOver.NOTHING : LeftOver.of(internalBuffer());
    }
}
