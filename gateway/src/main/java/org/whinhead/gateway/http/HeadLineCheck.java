package org.whinhead.gateway.http;

import io.netty.buffer.ByteBuf;
import java.util.Optional;

/**
 * Checks how the lines of a head begin, which the decoder doesn't: it joins a line that begins with
 * a blank to the field before it.
 */
final class HeadLineCheck {

    private static final String FOLDED_LINE = "line of a field begins with a blank";

    private Optional<String> mFault = Optional.empty();
    private boolean mStatusLineBegun;
    private boolean mAtLineStart;

    /**
     * Reads bytes that the decoder has consumed, in order.
     *
     * @param bytes the buffer
     * @param from the index of the first byte
     * @param until the index behind the last byte
     */
    void read(final ByteBuf bytes, final int from, final int until) {
        for (int index = from; index < until && mFault.isEmpty(); index++) {
            read((char) bytes.getUnsignedByte(index));
        }
    }

    private void read(final char octet) {
        final boolean lineEnd = octet == '\n';
        if (!mStatusLineBegun && octet != '\r' && !lineEnd) {
            mStatusLineBegun = true;
        } else if (mAtLineStart && (octet == ' ' || octet == '\t')) {
            mFault = Optional.of(FOLDED_LINE);
        }
        mAtLineStart = mStatusLineBegun && lineEnd;
    }

    /**
     * Ends a head; the next byte belongs to another one.
     *
     * @return what is wrong with the head that ends
     */
    Optional<String> end() {
        final Optional<String> fault = mFault;
        mFault = Optional.empty();
        mStatusLineBegun = false;
        mAtLineStart = false;
        return fault;
    }
}
