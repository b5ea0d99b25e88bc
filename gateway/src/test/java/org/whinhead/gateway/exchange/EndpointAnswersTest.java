package org.whinhead.gateway.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.whinhead.gateway.endpoint.EndpointResponse;
import org.whinhead.gateway.endpoint.EndpointStatements;
import org.whinhead.gateway.metrics.RequestMetrics;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.endpoint.EndpointStart;

class EndpointAnswersTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final EndpointEntry ENDPOINT = TestServing.endpoint("e-1", false);
    private static final Duration PAUSE = Duration.ofSeconds(3);
    private static final int FULL = 503;

    private final ServingState mState = TestServing.state(() -> NOW);
    private final EndpointAnswers mAnswers =
            new EndpointAnswers(mState, new StatementLogger(() -> NOW, new RequestMetrics()));
    private final List<EndpointStart> mDepartures = new ArrayList<>();
    private final List<String> mPaused = new ArrayList<>();

    @BeforeEach
    void listen() {
        mState.endpoints().put(ENDPOINT, 1);
        mAnswers.onDeparture(mDepartures::add);
        mAnswers.onPause(mPaused::add);
    }

    private static EndpointResponse response(
            final int status, final boolean fromOther, final boolean authentic) {
        return new EndpointResponse(
                HttpResponseStatus.valueOf(status),
                new DefaultHttpHeaders(),
                Optional.of("r-1"),
                false,
                fromOther,
                authentic,
                Optional.empty(),
                new EndpointStatements(
                        true, Optional.of(PAUSE), OptionalInt.empty(), Optional.empty()),
                false);
    }

    private void answer(final EndpointResponse response, final String requestId) {
        mAnswers.record(ENDPOINT, response, requestId, NOW);
    }

    private Optional<Duration> pause() {
        return mState.pauses().left("e-1", NOW);
    }

    // Guards against reading the statement of successful answers only: a failure, or a rejection
    // that says nothing of its request, makes it as well.
    @ParameterizedTest
    @ValueSource(ints = {200, 500, 429, 503})
    void anyAnswerOfEndpointTellsThatItLeaves(final int status) {
        answer(response(status, false, status < 400 || status == 500), "r-1");
        answer(response(status, false, true), "r-1");
        assertThat(mDepartures).containsExactly(EndpointStart.of(ENDPOINT));
    }

    // Guards against ending the use of an endpoint by bytes of another one, or of another request.
    @Test
    void answerOfAnotherTellsNothing() {
        answer(response(200, true, true), "r-1");
        answer(response(200, false, false), "r-1");
        answer(response(200, false, true), "r-2");
        answer(response(FULL, false, false), "r-2");
        assertThat(mDepartures).isEmpty();
        assertThat(pause()).isEmpty();
    }

    // Guards against a pause of an endpoint that has rejected nothing: a late rejection of the
    // request before arrives in place of a response.
    @Test
    void rejectionOfAnotherRequestIsNotCounted() {
        final List<EndpointEntry> rejections = new ArrayList<>();
        mAnswers.onRejection(rejections::add);
        final EndpointResponse rejection =
                new EndpointResponse(
                        HttpResponseStatus.valueOf(FULL),
                        new DefaultHttpHeaders(),
                        Optional.of("r-1"),
                        true,
                        false,
                        true,
                        Optional.empty(),
                        new EndpointStatements(
                                false, Optional.empty(), OptionalInt.of(2), Optional.empty()),
                        false);
        answer(rejection, "r-2");
        assertThat(rejections).isEmpty();
        answer(rejection, "r-1");
        assertThat(rejections).containsExactly(ENDPOINT);
    }

    // Guards against telling all other daemons what the store has told them.
    @Test
    void departureOfEndpointThatIsListedAsLeavingIsNotTold() {
        mState.endpoints().put(TestServing.endpoint("e-1", true), 2);
        answer(response(200, false, true), "r-1");
        assertThat(mDepartures).isEmpty();
        assertThat(mState.departures().contains(EndpointStart.of(ENDPOINT))).isTrue();
    }

    @Test
    void answerToHealthCheckTellsThatEndpointLeaves() {
        mAnswers.recordHealth(ENDPOINT, response(FULL, false, false));
        assertThat(mDepartures).hasSize(1);
    }

    @ParameterizedTest
    @ValueSource(ints = {429, 503})
    void rejectionAsksForPause(final int status) {
        answer(response(status, false, false), "r-1");
        assertThat(pause().orElseThrow()).isBetween(PAUSE, PAUSE.plusMillis(500));
        assertThat(mPaused).containsExactly("e-1");
    }

    @ParameterizedTest
    @ValueSource(ints = {200, 302, 500, 504})
    void otherAnswerAsksForNoPause(final int status) {
        answer(response(status, false, true), "r-1");
        assertThat(pause()).isEmpty();
    }
}
