package org.whinhead.daemon.operator;

import io.undertow.server.HttpServerExchange;
import java.util.Deque;
import java.util.OptionalLong;

/** Reads the query parameters of an operator's call. */
final class QueryParameters {

    private QueryParameters() {}

    /** Returns a parameter's first value; empty if the parameter is absent. */
    static String text(final HttpServerExchange exchange, final String name) {
        final Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null || values.isEmpty() ? "" : values.getFirst();
    }

    /** Returns a parameter as a number; empty if the parameter is absent or not a number. */
    static OptionalLong number(final HttpServerExchange exchange, final String name) {
        try {
            return OptionalLong.of(Long.parseLong(text(exchange, name)));
        } catch (final NumberFormatException e) {
            return OptionalLong.empty();
        }
    }
}
