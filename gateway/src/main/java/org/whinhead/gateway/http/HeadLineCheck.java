package org.whinhead.gateway.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpMessage;
import java.io.IOException;
import java.util.Objects;
import java.util.Optional;

/**
 * Checks the lines of a head as they were sent, which the decoders don't: they join a line that
 * begins with a blank to the field before it, and skip control characters around the words of the
 * first line. What they check themselves (version, status, names of fields) isn't checked here.
 */
public final class HeadLineCheck {

    private static final char DELETE = 127;

    private static final String BLANK_BEFORE = "blank before the first line";
    private static final String FIRST_LINE = "invalid character in the first line";
    private static final String FOLDED_LINE = "line of a field begins with a blank";
    private static final String CARRIAGE_RETURN = "carriage return within a line";
    private static final String CONTROL_CHARACTER = "control character within a line";

    private final FirstLine mFirstLine;
    private Optional<String> mFault = Optional.empty();
    private int mLine;
    private int mColumn;
    private boolean mAfterCarriageReturn;

    /**
     * Creates a check that awaits the first head of a connection.
     *
     * @param firstLine the kind of head
     */
    public HeadLineCheck(final FirstLine firstLine) {
        mFirstLine = Objects.requireNonNull(firstLine, "firstLine");
    }

    /**
     * Reads bytes that the decoder has consumed, in order.
     *
     * @param bytes the buffer
     * @param from the index of the first byte
     * @param until the index behind the last byte
     */
    public void read(final ByteBuf bytes, final int from, final int until) {
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
        } else if (mLine == 0 && !lineEnd && !mFirstLine.allows(mColumn, octet)) {
            mFault = Optional.of(FIRST_LINE);
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
     * Ends a head, and marks its message as not decoded if a line is none. One that the decoder has
     * refused itself keeps its reason.
     *
     * @param head the message that the decoder has made of it
     */
    public void end(final HttpMessage head) {
        final Optional<String> fault = end();
        if (fault.isPresent() && head.decoderResult().isSuccess()) {
            head.setDecoderResult(DecoderResult.failure(new IOException(fault.get())));
        }
    }

    /** Ends a head; the next byte belongs to another one. Returns what is wrong with it. */
    private Optional<String> end() {
        final Optional<String> fault = mFault;
        mFault = Optional.empty();
        mLine = 0;
        mColumn = 0;
        mAfterCarriageReturn = false;
        return fault;
    }
}
