package org.whinhead.daemon.engine;

import io.undertow.util.StatusCodes;
import org.whinhead.requests.AttemptEvent;
import org.whinhead.requests.AttemptFailure;
import org.whinhead.requests.PlainAnswer;

/** Converts a plain service's response to attempt events. */
final class ServiceResponse extends BufferedResponse {

    private static final int MAX_ANSWER_BYTES = 4 * 1024 * 1024;

    ServiceResponse(final AttemptEventPublisher publisher) {
        super(publisher, MAX_ANSWER_BYTES);
    }

    /**
     * Publishes the answer or the failure. 429, 503 and other 5xx are failures, which may be
     * retried at another endpoint; every other status, also another 4xx, is an answer whose body
     * the caller needs.
     */
    @Override
    void handleResponse(final int status, final String contentType, final byte[] body) {
        if (status < StatusCodes.INTERNAL_SERVER_ERROR && status != StatusCodes.TOO_MANY_REQUESTS) {
            publisher().publishOpened("");
            publisher()
                    .publishLast(
                            new AttemptEvent.Answered(
                                    publisher().attempt(),
                                    new PlainAnswer(status, contentType, body)));
            return;
        }
        final AttemptFailure failure = AttemptFailures.ofStatus(status);
        publisher().publishFailed(failure, "the service answered with status " + status);
    }
}
