package org.whinhead.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** What was received together with the end of a response and doesn't belong to it. */
public enum LeftOver {
    /** No bytes. */
    NOTHING,
    /** Line ends only, which some servers send after a body. */
    LINE_ENDS,
    /** The start of another response. */
    RESPONSE,
    /** Other bytes. */
    OTHER;

    private static final byte[] RESPONSE_START = "HTTP/1.".getBytes(StandardCharsets.US_ASCII);

    /**
     * Returns the name in metrics and log lines.
     *
     * @return the name, in lower case
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns what the readable bytes of a buffer are, which stay readable. */
    static LeftOver of(final ByteBuf bytes) {
        if (!bytes.isReadable()) {
            return NOTHING;
        }
        if (bytes.forEachByte(ByteProcessor.FIND_NON_CRLF) < 0) {
            return LINE_ENDS;
        }
        return startsResponse(bytes) ? RESPONSE : OTHER;
    }

    private static boolean startsResponse(final ByteBuf bytes) {
        final int length = Math.min(bytes.readableBytes(), RESPONSE_START.length);
        for (int index = 0; index < length; index++) {
            if (bytes.getByte(bytes.readerIndex() + index) != RESPONSE_START[index]) {
                return false;
            }
        }
        return true;
    }
}
