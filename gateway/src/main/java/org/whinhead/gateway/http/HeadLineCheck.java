package org.whinhead.gateway.http;

import io.netty.buffer.ByteBuf;
import java.util.Optional;

/**
 * Checks the lines of a head as they were sent, which the decoder doesn't: it joins a line that
 * begins with a blank to the field before it, and skips control characters around the words of a
 * status line.
 */
final class HeadLineCheck {

    private static final char DELETE = 127;

    /** The octets of a version, a space and a status. */
    private static final int REASON_PHRASE_START = "HTTP/1.1 200".length();

    private static final String BLANK_BEFORE = "blank before the status line";
    private static final String NO_SPACE = "no space behind the status";
    private static final String FOLDED_LINE = "line of a field begins with a blank";
    private static final String CARRIAGE_RETURN = "carriage return within a line";
    private static final String CONTROL_CHARACTER = "control character within a line";

    private Optional<String> mFault = Optional.empty();
    private int mLine;
    private int mColumn;
    private boolean mAfterCarriageReturn;

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
        final boolean lineEnd = octet == '\r' || octet == '\n';
        final boolean blank = octet == ' ' || octet == '\t';
        if (mAfterCarriageReturn && octet != '\n') {
            mFault = Optional.of(CARRIAGE_RETURN);
        } else if (isControl(octet)) {
            mFault = Optional.of(CONTROL_CHARACTER);
        } else if (mLine == 0 && mColumn == 0 && blank) {
            mFault = Optional.of(BLANK_BEFORE);
        } else if (mLine == 0 && mColumn == REASON_PHRASE_START && octet != ' ' && !lineEnd) {
            mFault = Optional.of(NO_SPACE);
        } else if (mLine > 0 && mColumn == 0 && blank) {
            mFault = Optional.of(FOLDED_LINE);
        }
        mAfterCarriageReturn = octet == '\r';
        if (octet != '\n') {
            mColumn += mAfterCarriageReturn ? 0 : 1;
        } else if (mLine > 0 || mColumn > 0) {
            // Blank lines may precede a head.
            mLine++;
            mColumn = 0;
        }
    }

    private static boolean isControl(final char octet) {
        return octet < ' ' && octet != '\t' && octet != '\r' && octet != '\n' || octet == DELETE;
    }

    /**
     * Ends a head; the next byte belongs to another one.
     *
     * @return what is wrong with the head that ends
     */
    Optional<String> end() {
        final Optional<String> fault = mFault;
        mFault = Optional.empty();
        mLine = 0;
        mColumn = 0;
        mAfterCarriageReturn = false;
        return fault;
    }
}
