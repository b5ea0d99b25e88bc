package org.whinhead.api.request;

import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * Names one attempt of a request at one endpoint.
 *
 * @param request the request
 * @param number the attempt's number, from 1
 */
public record AttemptId(RequestId request, int number) {

    /** Checks both parts. */
    public AttemptId {
        Objects.requireNonNull(request, "request");
        Arguments.requireAtLeast(number, 1, "number");
    }

    /** Returns the identity of the attempt after this one. */
    public AttemptId next() {
        return new AttemptId(request, number + 1);
    }

    @Override
    public String toString() {
        return request + "#" + number;
    }
}
