package org.whinhead.gateway.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.whinhead.api.verdict.Verdict;
import org.whinhead.gateway.endpoint.EndpointResponse;
import org.whinhead.gateway.endpoint.EndpointStatements;

class EndpointResponseFaultTest {

    private static final String ID = "r-1";

    private static EndpointResponse response(
            final HttpResponseStatus status,
            final String requestId,
            final boolean notRun,
            final boolean otherEndpoint,
            final boolean genuine) {
        return new EndpointResponse(
                status,
                new DefaultHttpHeaders(),
                Optional.ofNullable(requestId),
                notRun,
                otherEndpoint,
                genuine,
                Optional.empty(),
                EndpointStatements.NONE,
                false);
    }

    private static Verdict verdict(final EndpointResponse response, final boolean streamStarted) {
        return EndpointResponseFault.of(response, ID, streamStarted)
                .map(EndpointResponseFault::verdict)
                .orElse(null);
    }

    @Test
    void responseToTheRequestHasNoFault() {
        assertThat(verdict(response(HttpResponseStatus.OK, ID, false, false, true), false))
                .isNull();
        assertThat(verdict(response(HttpResponseStatus.OK, ID, false, false, true), true)).isNull();
    }

    @Test
    void onlyAnEndpointsStatementMeansNotRun() {
        final HttpResponseStatus full = HttpResponseStatus.SERVICE_UNAVAILABLE;
        assertThat(verdict(response(full, ID, true, false, false), false))
                .isEqualTo(Verdict.NOT_RUN);
        assertThat(verdict(response(full, ID, false, true, false), false))
                .isEqualTo(Verdict.NOT_RUN);
        assertThat(verdict(response(full, ID, false, false, false), false))
                .isEqualTo(Verdict.MAY_HAVE_RUN);
    }

    // Guards against a caller receiving the response to another request: an endpoint sends an extra
    // response after an earlier one, and it arrives in place of this request's response.
    @Test
    void responseToAnotherRequestIsRejected() {
        assertThat(verdict(response(HttpResponseStatus.OK, "r-0", false, false, true), false))
                .isEqualTo(Verdict.MAY_HAVE_RUN);
    }

    // Guards against a request that runs twice: a late response states that the request before on
    // its connection did not run, and this request is sent to another endpoint.
    @Test
    void statementOnAnotherRequestIsNotBelieved() {
        final HttpResponseStatus full = HttpResponseStatus.SERVICE_UNAVAILABLE;
        assertThat(verdict(response(full, "r-0", true, false, false), false))
                .isEqualTo(Verdict.MAY_HAVE_RUN);
        assertThat(verdict(response(full, "r-0", false, true, false), false))
                .isEqualTo(Verdict.MAY_HAVE_RUN);
    }

    @Test
    void rejectionThatNamesNoRequestIsBelieved() {
        final HttpResponseStatus full = HttpResponseStatus.SERVICE_UNAVAILABLE;
        assertThat(verdict(response(full, null, true, false, false), false))
                .isEqualTo(Verdict.NOT_RUN);
        assertThat(verdict(response(full, null, false, false, false), false))
                .isEqualTo(Verdict.MAY_HAVE_RUN);
    }

    @Test
    void errorAfterTheStartOfStreamIsRejected() {
        final HttpResponseStatus error = HttpResponseStatus.INTERNAL_SERVER_ERROR;
        assertThat(verdict(response(error, ID, false, false, true), false)).isNull();
        assertThat(verdict(response(error, ID, false, false, true), true))
                .isEqualTo(Verdict.MAY_HAVE_RUN);
    }
}
