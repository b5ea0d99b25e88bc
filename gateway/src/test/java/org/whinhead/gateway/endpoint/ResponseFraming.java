package org.whinhead.gateway.endpoint;

import io.netty.handler.codec.http.HttpMethod;

/** The ways in which a response tells where it ends. */
enum ResponseFraming {
    LENGTH {
        @Override
        String render(final String head, final String body) {
            return head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        }
    },
    CLOSED_AFTER_LENGTH {
        @Override
        String render(final String head, final String body) {
            return LENGTH.render(head + "Connection: close\r\n", body);
        }
    },
    CHUNKS {
        @Override
        String render(final String head, final String body) {
            return chunks(head, body) + "0\r\n\r\n";
        }
    },
    CHUNKS_AND_TRAILERS {
        @Override
        String render(final String head, final String body) {
            return chunks(head, body) + "0;last\r\nChecksum: 1\r\n\r\n";
        }
    },
    INTERIM_RESPONSE_FIRST {
        @Override
        String render(final String head, final String body) {
            return "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + LENGTH.render(head, body);
        }
    },
    HEAD {
        @Override
        String render(final String head, final String body) {
            return head + "Content-Length: 7\r\n\r\n";
        }
    },
    UNTIL_CLOSED {
        @Override
        String render(final String head, final String body) {
            return head + "\r\n" + body;
        }
    };

    /**
     * Returns the bytes of a response.
     *
     * @param head the status line and the fields, each with its line end
     * @param body the body
     */
    abstract String render(String head, String body);

    HttpMethod method() {
        return this == HEAD ? HttpMethod.HEAD : HttpMethod.POST;
    }

    String receivedBody(final String body) {
        return this == HEAD ? "" : body;
    }

    private static String chunks(final String head, final String body) {
        final int half = body.length() / 2;
        return head
                + "Transfer-Encoding: chunked\r\n\r\n"
                + chunk(body.substring(0, half))
                + chunk(body.substring(half));
    }

    private static String chunk(final String part) {
        return Integer.toHexString(part.length()) + "\r\n" + part + "\r\n";
    }
}
