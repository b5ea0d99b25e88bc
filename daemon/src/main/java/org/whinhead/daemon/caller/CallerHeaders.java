package org.whinhead.daemon.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;

/** The names of the HTTP headers of the callers' interface. */
final class CallerHeaders {

    static final HttpString REQUEST_ID = new HttpString("X-Request-Id");
    static final HttpString VERDICT = new HttpString("X-Whinhead-Verdict");
    static final HttpString TICKET = new HttpString("X-Whinhead-Ticket");
    static final HttpString LAST_EVENT_ID = new HttpString("Last-Event-ID");
    static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");

    /** {@code true} if the caller sent the request before and received no answer. */
    static final HttpString REPEAT = new HttpString("X-Whinhead-Repeat");

    static final HttpString IDEMPOTENT = new HttpString("X-Idempotent");

    private CallerHeaders() {}

    /** Returns whether the caller sent the request before and received no answer. */
    static boolean isRepeat(final HttpServerExchange exchange) {
        return Boolean.parseBoolean(exchange.getRequestHeaders().getFirst(REPEAT));
    }
}
