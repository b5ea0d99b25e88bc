package org.whinhead.gateway.http;

/** The first line of a head, of which the decoders take more than the grammar allows. */
public enum FirstLine {
    /** A line of a response: version, status and reason phrase. */
    STATUS_LINE {
        @Override
        boolean allows(final int column, final char octet) {
            return column != REASON_PHRASE_START || octet == ' ';
        }
    },
    /** A line of a request: method, target and version. */
    REQUEST_LINE {
        @Override
        boolean allows(final int column, final char octet) {
            return octet != '\t';
        }
    };

    /** The octets of a version, a space and a status. */
    private static final int REASON_PHRASE_START = "HTTP/1.1 200".length();

    /**
     * Returns whether an octet may stand at a place of the line, as far as no decoder checks it.
     *
     * @param column the number of octets before it
     * @param octet the octet, not one of the line's end
     */
    abstract boolean allows(int column, char octet);
}
