package org.whinhead.daemon.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import java.util.concurrent.atomic.AtomicLong;
import org.whinhead.api.model.Customer;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.request.RequestId;
import org.whinhead.api.verdict.ErrorCode;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.api.verdict.RequestException;

/** Names requests, by what the caller says or anew. */
final class RequestNames {

    private static final int MAX_LENGTH = 200;
    private static final String SEPARATOR = "/";

    private final DaemonId mDaemon;
    private final AtomicLong mLastNumber = new AtomicLong();

    RequestNames(final DaemonId daemon) {
        mDaemon = daemon;
    }

    /** Returns the caller's name for the request, or a new one, and echoes it. */
    String assignName(final HttpServerExchange exchange) throws RequestException {
        final String given = readNameHeader(exchange, CallerHeaders.REQUEST_ID);
        final String shown = given.isEmpty() ? newName() : given;
        exchange.getResponseHeaders().put(CallerHeaders.REQUEST_ID, shown);
        return shown;
    }

    /** Returns a name that no other request of the deployment has. */
    String newName() {
        return mDaemon + "-" + mLastNumber.incrementAndGet();
    }

    /**
     * Returns the identity of a request. It begins with the customer, so that two customers who use
     * the same name or idempotency key never meet in one request.
     */
    RequestId requestId(final Customer customer, final String name) {
        return new RequestId(customer.id() + SEPARATOR + name);
    }

    /** Returns a header that names something; empty if it was not sent. */
    static String readNameHeader(final HttpServerExchange exchange, final HttpString name)
            throws RequestException {
        final String value = exchange.getRequestHeaders().getFirst(name);
        if (value == null) {
            return "";
        }
        final boolean printable = value.chars().allMatch(c -> c > ' ' && c < '\u007f');
        if (value.isEmpty() || value.length() > MAX_LENGTH || !printable) {
            throw new RequestException(
                    Refusal.notRun(
                            ErrorCode.MALFORMED_REQUEST,
                            "header " + name + ": expected 1 to " + MAX_LENGTH + " characters"));
        }
        return value;
    }
}
