package org.whinhead.gateway.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.whinhead.api.verdict.Verdict;
import org.whinhead.gateway.endpoint.EndpointResponse;

class EndpointResponseFaultTest {

    private static final String ID = "r-1";

    private static EndpointResponse answer(
            final HttpResponseStatus status,
            final String requestId,
            final boolean notRun,
            final boolean otherEndpoint,
            final boolean genuine) {
        return new EndpointResponse(
                status,
                new DefaultHttpHeaders(),
                Optional.of(requestId),
                notRun,
                otherEndpoint,
                genuine,
                Optional.empty(),
                false);
    }

    private static Verdict verdict(final EndpointResponse answer, final boolean streamStarted) {
        return EndpointResponseFault.of(answer, ID, streamStarted)
                .map(EndpointResponseFault::verdict)
                .orElse(null);
    }

    @Test
    void answerOfTheRequestHasNoFault() {
        assertThat(verdict(answer(HttpResponseStatus.OK, ID, false, false, true), false)).isNull();
        assertThat(verdict(answer(HttpResponseStatus.OK, ID, false, false, true), true)).isNull();
    }

    @Test
    void onlyTheEndpointsOwnWordMeansNotRun() {
        final HttpResponseStatus full = HttpResponseStatus.SERVICE_UNAVAILABLE;
        assertThat(verdict(answer(full, ID, true, false, false), false)).isEqualTo(Verdict.NOT_RUN);
        assertThat(verdict(answer(full, ID, false, true, false), false)).isEqualTo(Verdict.NOT_RUN);
        assertThat(verdict(answer(full, ID, false, false, false), false))
                .isEqualTo(Verdict.MAY_HAVE_RUN);
    }

    // A caller gets the answer of another request. Its endpoint had sent an extra one behind an
    // earlier answer, and it came where this request's answer was due.
    @Test
    void answerOfAnotherRequestIsNoAnswer() {
        assertThat(verdict(answer(HttpResponseStatus.OK, "r-0", false, false, true), false))
                .isEqualTo(Verdict.MAY_HAVE_RUN);
    }

    @Test
    void failureMustNotFollowTheEventsOfStream() {
        final HttpResponseStatus error = HttpResponseStatus.INTERNAL_SERVER_ERROR;
        assertThat(verdict(answer(error, ID, false, false, true), false)).isNull();
        assertThat(verdict(answer(error, ID, false, false, true), true))
                .isEqualTo(Verdict.MAY_HAVE_RUN);
    }
}
