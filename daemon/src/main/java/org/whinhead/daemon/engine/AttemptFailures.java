package org.whinhead.daemon.engine;

import io.undertow.util.StatusCodes;
import org.whinhead.clients.http.HttpFailure;
import org.whinhead.requests.AttemptFailure;

/** Maps failed HTTP calls and error statuses to attempt failures. */
final class AttemptFailures {

    private AttemptFailures() {}

    static AttemptFailure of(final HttpFailure failure) {
        return switch (failure) {
            case CONNECT_FAILED -> AttemptFailure.CONNECT_FAILED;
            case CUT_BEFORE_RESPONSE -> AttemptFailure.CUT_BEFORE_ANSWER;
            case CUT_DURING_RESPONSE -> AttemptFailure.CUT_DURING_ANSWER;
            case SILENT -> AttemptFailure.SILENT;
            case RESPONSE_TOO_LARGE -> AttemptFailure.FAULTED;
        };
    }

    static AttemptFailure ofStatus(final int status) {
        if (status == StatusCodes.TOO_MANY_REQUESTS || status == StatusCodes.SERVICE_UNAVAILABLE) {
            return AttemptFailure.REFUSED_BY_ENDPOINT;
        }
        if (status >= StatusCodes.INTERNAL_SERVER_ERROR) {
            return AttemptFailure.FAULTED;
        }
        return AttemptFailure.REJECTED;
    }
}
