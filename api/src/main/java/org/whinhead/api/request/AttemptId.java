package org.whinhead.api.request;

import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * Identifier of one attempt to run a request at one endpoint.
 *
 * @param request the identifier of the request
 * @param number the attempt's number, from 1
 */
public record AttemptId(RequestId request, int number) {

    /** Validates both components. */
    public AttemptId {
        Objects.requireNonNull(request, "request");
        Arguments.requireAtLeast(number, 1, "number");
    }

    /** Returns the identifier of the attempt after this one. */
    public AttemptId next() {
        return new AttemptId(request, number + 1);
    }

    @Override
    public String toString() {
        return request + "#" + number;
    }
}
