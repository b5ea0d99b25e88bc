package org.whinhead.gateway.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.caller.CallerRequest;
import org.whinhead.gateway.crash.CrashDetector;
import org.whinhead.gateway.crash.RequestFeatures;
import org.whinhead.gateway.endpoint.ConnectFailure;
import org.whinhead.gateway.metrics.RequestMetrics;
import org.whinhead.serving.crash.RequestFeature;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.route.Route;
import org.whinhead.serving.route.RouteKind;
import org.whinhead.serving.route.WeightedService;

/** What the checks of an endpoint leave behind, whichever of its requests is checked first. */
class CrashRecorderTest {

    private static final Duration LIMIT = Duration.ofMillis(60);
    private static final EndpointEntry FIRST = TestServing.endpoint("e-1", false);
    private static final EndpointEntry SECOND = TestServing.endpoint("e-2", false);

    private Instant mNow = Instant.parse("2026-01-01T00:00:00Z");
    private final ServingState mState = TestServing.state(() -> mNow);
    private final RequestMetrics mCounts = new RequestMetrics();
    private final CrashDetector mDetector = new CrashDetector(this::probe, mCounts, () -> mNow);
    private final Exchanges mExchanges =
            new Exchanges(
                    new EmbeddedChannel().eventLoop(),
                    mState,
                    null,
                    null,
                    new RequestLogger(() -> mNow, mCounts, mState.configurationProgress()),
                    null,
                    mDetector);
    private final List<Boolean> mChecked = new ArrayList<>();
    private Runnable mAccepted;
    private Consumer<ConnectFailure> mFailed;

    private void probe(
            final EndpointEntry endpoint,
            final Runnable accepted,
            final Consumer<ConnectFailure> failed) {
        mAccepted = accepted;
        mFailed = failed;
    }

    private static AdmittedRequest request(final String content) {
        final Route route =
                Route.builder()
                        .name("read")
                        .match("desk.example", "/")
                        .kind(RouteKind.IDEMPOTENT, false)
                        .times(Duration.ofSeconds(1), Duration.ofMillis(100))
                        .service(new WeightedService("pool", 1))
                        .maxAttempts(2)
                        .build();
        return new AdmittedRequest(
                CallerRequest.builder()
                        .id(content)
                        .call(HttpMethod.POST, "desk.example", "/" + content)
                        .forwardedHeaders(new DefaultHttpHeaders())
                        .build(),
                route,
                Optional.empty(),
                Optional.empty(),
                Instant.EPOCH);
    }

    private CrashRecorder recorder(final String content) {
        return new CrashRecorder(
                mExchanges,
                request(content),
                Unpooled.wrappedBuffer(content.getBytes(StandardCharsets.UTF_8)));
    }

    private CrashRecorder sent(final String content, final EndpointEntry endpoint) {
        final CrashRecorder recorder = recorder(content);
        send(recorder, endpoint);
        return recorder;
    }

    private void send(final CrashRecorder recorder, final EndpointEntry endpoint) {
        recorder.start(decision -> assertThat(decision.isAllowed()).isTrue());
        recorder.placed(endpoint);
        recorder.attemptSent();
    }

    private void lose(final CrashRecorder recorder, final EndpointEntry endpoint) {
        recorder.connectionEnded(endpoint, mNow, LIMIT, mChecked::add);
        recorder.attemptEnded();
    }

    private int level(final String content) {
        final RequestFeature feature =
                RequestFeatures.of(
                                request(content).request(),
                                Optional.empty(),
                                Unpooled.wrappedBuffer(content.getBytes(StandardCharsets.UTF_8)))
                        .get(0)
                        .feature();
        return mState.suspects().level(feature, mNow);
    }

    private void crash(final String content) {
        lose(sent(content, FIRST), FIRST);
        mFailed.accept(ConnectFailure.ENDPOINT);
        mNow = mNow.plusSeconds(2);
    }

    @Test
    void crashCountsAgainstRequestsCheckedBeforeAndAfter() {
        final CrashRecorder before = sent("a", FIRST);
        final CrashRecorder after = sent("b", FIRST);
        lose(before, FIRST);
        mAccepted.run();
        lose(after, FIRST);
        mFailed.accept(ConnectFailure.ENDPOINT);
        assertThat(level("a")).isEqualTo(1);
        assertThat(level("b")).isEqualTo(1);
        assertThat(mChecked).containsExactly(false, true);
    }

    // Guards against a request that is suspected although an endpoint has answered it since: an
    // answer takes off the crash that came before it.
    @Test
    void requestThatWasAnsweredMeanwhileIsNotSuspected() {
        final CrashRecorder answered = sent("a", FIRST);
        final CrashRecorder other = sent("b", FIRST);
        lose(answered, FIRST);
        mAccepted.run();
        send(answered, SECOND);
        answered.answered();
        lose(other, FIRST);
        mFailed.accept(ConnectFailure.ENDPOINT);
        assertThat(level("a")).isZero();
        assertThat(level("b")).isEqualTo(1);
    }

    // Guards against one crash that counts twice against a request which was sent to the endpoint
    // again before it was known to have crashed.
    @Test
    void crashCountsOnceAgainstRequestThatWasSentThereAgain() {
        final CrashRecorder recorder = sent("a", FIRST);
        lose(recorder, FIRST);
        mAccepted.run();
        send(recorder, FIRST);
        lose(recorder, FIRST);
        mFailed.accept(ConnectFailure.ENDPOINT);
        assertThat(level("a")).isEqualTo(1);
        assertThat(mChecked).containsExactly(false, true);
    }

    // Guards against a crash that counts against a request twice as it is on its way to another
    // endpoint by then: that one may crash as well, and this is the second crash.
    @Test
    void requestThatIsSentElsewhereMeanwhileIsSuspectedOfEachCrash() {
        final CrashRecorder recorder = sent("a", FIRST);
        lose(recorder, FIRST);
        mAccepted.run();
        send(recorder, SECOND);
        lose(sent("b", FIRST), FIRST);
        mFailed.accept(ConnectFailure.ENDPOINT);
        assertThat(level("a")).isEqualTo(1);
        mNow = mNow.plusSeconds(1);
        lose(recorder, SECOND);
        mFailed.accept(ConnectFailure.ENDPOINT);
        assertThat(level("a")).isEqualTo(2);
        assertThat(level("b")).isEqualTo(1);
    }

    // Guards against a crash that counts against innocent requests although a suspected one was on
    // the endpoint: the check of the suspected one came first, and found the endpoint up.
    @Test
    void suspectedRequestThatWasCheckedBeforeExplainsTheCrash() {
        crash("suspect");
        assertThat(level("suspect")).isEqualTo(1);
        final CrashRecorder suspect = sent("suspect", SECOND);
        final CrashRecorder innocent = sent("innocent", SECOND);
        lose(suspect, SECOND);
        mAccepted.run();
        lose(innocent, SECOND);
        mFailed.accept(ConnectFailure.ENDPOINT);
        assertThat(level("suspect")).isEqualTo(2);
        assertThat(level("innocent")).isZero();
    }

    @Test
    void suspectedRequestThatIsCheckedAfterwardsExplainsTheCrash() {
        crash("suspect");
        final CrashRecorder suspect = sent("suspect", SECOND);
        final CrashRecorder innocent = sent("innocent", SECOND);
        lose(innocent, SECOND);
        mAccepted.run();
        lose(suspect, SECOND);
        mFailed.accept(ConnectFailure.ENDPOINT);
        assertThat(level("suspect")).isEqualTo(2);
        assertThat(level("innocent")).isZero();
    }
}
