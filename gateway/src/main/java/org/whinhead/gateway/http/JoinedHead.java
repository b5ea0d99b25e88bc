package org.whinhead.gateway.http;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Iterator;
import java.util.Map.Entry;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Finds heads that were read from two: a begun response is left on the connection, and the status
 * line of the next one becomes the rest of its unfinished line.
 */
final class JoinedHead {

    private static final String REASON_PHRASE = "reason phrase";

    /** Laxer than what the decoder takes for a status line. */
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/\\d+\\.\\d+[ \\t]+\\d{3}", Pattern.CASE_INSENSITIVE);

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

    private static boolean containsStatusLine(final String text) {
        return text.indexOf('/') >= 0 && STATUS_LINE.matcher(text).find();
    }
}
