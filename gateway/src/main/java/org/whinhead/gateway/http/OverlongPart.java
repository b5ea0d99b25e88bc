package org.whinhead.gateway.http;

import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.Locale;
import java.util.Optional;

/** The parts of a response, or instead of one, of which a server sent more than is allowed. */
public enum OverlongPart {
    /** Bytes before a status line, such as blank lines. */
    BEFORE_HEAD,
    /** The status line, or very many blank lines that were read at once. */
    STATUS_LINE,
    /** The header fields together. */
    HEADER_FIELDS,
    /** Interim responses, or one that switches to another protocol. */
    INTERIM_RESPONSES,
    /** The line with the size and the extensions of a chunk, or bytes that end no chunk. */
    CHUNK_LINE,
    /** The trailers together. */
    TRAILERS,
    /** Bytes on a connection on which no response is awaited. */
    AFTER_RESPONSE,
    /** An event of a stream. */
    EVENT,
    /** A head that was begun and not complete at the deadline. */
    UNFINISHED_HEAD,
    /** A body without a length that was not complete at the deadline. */
    UNFINISHED_BODY;

    /**
     * Returns the name in metrics and log lines.
     *
     * @return the name, in lower case
     */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the part that a decoder found too long; empty if it failed for another reason. */
    static Optional<OverlongPart> of(final Throwable cause, final boolean inBody) {
        if (cause instanceof TooLongHttpLineException) {
            return Optional.of(inBody ? CHUNK_LINE : STATUS_LINE);
        }
        if (cause instanceof TooLongHttpHeaderException) {
            return Optional.of(inBody ? TRAILERS : HEADER_FIELDS);
        }
        return Optional.empty();
    }
}
