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

/** Determines the name of each request: the caller's or a generated one. */
final class RequestNames {

    private static final int MAX_LENGTH = 200;
    private static final String SEPARATOR = "/";

    private final DaemonId mDaemon;
    private final AtomicLong mLastNumber = new AtomicLong();

    RequestNames(final DaemonId daemon) {
        mDaemon = daemon;
    }

    /**
     * Returns the caller's name for the request, or a new one, and sets it as response header.
     *
     * @throws RequestException if the caller's name is malformed
     */
    String assignName(final HttpServerExchange exchange) throws RequestException {
        final String callerName = readNameHeader(exchange, CallerHeaders.REQUEST_ID);
        final String requestName = callerName.isEmpty() ? newName() : callerName;
        exchange.getResponseHeaders().put(CallerHeaders.REQUEST_ID, requestName);
        return requestName;
    }

    /** Returns a generated name, unique in the deployment. */
    String newName() {
        return mDaemon + "-" + mLastNumber.incrementAndGet();
    }

    /**
     * Returns the id of a request. It begins with the customer's id, so that two customers who use
     * the same name or idempotency key never share a request id.
     */
    RequestId requestId(final Customer customer, final String name) {
        return new RequestId(customer.id() + SEPARATOR + name);
    }

    /**
     * Returns the value of a header that has a name or key; empty if the header is missing.
     *
     * @throws RequestException if the value is empty, too long or not printable ASCII
     */
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
