package org.whinhead.gateway.http;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Iterator;
import java.util.Map.Entry;
import java.util.Optional;

/**
 * Finds heads that were read from two: a begun response is left on the connection, and the status
 * line of the next one becomes the rest of its unfinished line.
 */
final class JoinedHead {

    private static final String STATUS_LINE_BEGIN = "HTTP/1.";
    private static final String REASON_PHRASE = "reason phrase";

    private static final int STATUS_DIGITS = 3;

    private JoinedHead() {}

    /**
     * Returns where a head contains another status line.
     *
     * @param response the head
     * @return "reason phrase", or the name of the field; empty if there is none
     */
    static Optional<String> find(final HttpResponse response) {
        if (containsStatusLine(response.status().reasonPhrase())) {
            return Optional.of(REASON_PHRASE);
        }
        final Iterator<Entry<CharSequence, CharSequence>> fields =
                response.headers().iteratorCharSequence();
        while (fields.hasNext()) {
            final Entry<CharSequence, CharSequence> field = fields.next();
            if (containsStatusLine(field.getValue().toString())) {
                return Optional.of(field.getKey().toString());
            }
        }
        return Optional.empty();
    }

    /** Returns whether a text contains a version, a space and three digits. */
    private static boolean containsStatusLine(final String text) {
        int begin = text.indexOf(STATUS_LINE_BEGIN);
        while (begin >= 0) {
            // Skips the digit of the minor version.
            if (isStatus(text, begin + STATUS_LINE_BEGIN.length() + 1)) {
                return true;
            }
            begin = text.indexOf(STATUS_LINE_BEGIN, begin + 1);
        }
        return false;
    }

    private static boolean isStatus(final String text, final int space) {
        final int end = space + 1 + STATUS_DIGITS;
        return end <= text.length()
                && text.charAt(space) == ' '
                && text.substring(space + 1, end).chars().allMatch(Character::isDigit);
    }
}
