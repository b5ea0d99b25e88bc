package org.whinhead.gateway.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.caller.CallerRequest;
import org.whinhead.gateway.caller.CallerResponse;
import org.whinhead.gateway.caller.RefusalResponse;
import org.whinhead.gateway.endpoint.EndpointResponse;
import org.whinhead.gateway.metrics.RequestMetrics;
import org.whinhead.gateway.stream.StreamIdentifier;
import org.whinhead.serving.configuration.CallerLimits;
import org.whinhead.serving.configuration.CustomerAccount;
import org.whinhead.serving.configuration.RejectedEntries;
import org.whinhead.serving.configuration.RejectedEntry;
import org.whinhead.serving.configuration.ServingConfiguration;
import org.whinhead.serving.configuration.TokenAllowance;
import org.whinhead.serving.quota.ShareTable;
import org.whinhead.serving.route.Route;
import org.whinhead.serving.route.RouteKind;
import org.whinhead.serving.route.RoutePattern;
import org.whinhead.serving.route.WeightedService;
import org.whinhead.serving.stop.StopSchedule;
import org.whinhead.serving.stream.StreamKey;
import org.whinhead.serving.stream.StreamOrigin;
import org.whinhead.serving.stream.StreamRecord;

class ExchangesTest {

    private static final Instant NOW = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration GRACE = Duration.ofSeconds(8);
    private static final TokenAllowance NO_LIMIT = new TokenAllowance(0, 0, 1);
    private static final TokenAllowance LIMITED = new TokenAllowance(1_000, 1_000, 1);

    private Instant mNow = NOW;
    private final ServingState mState = TestServing.state(() -> mNow);
    private final Exchanges mExchanges =
            new Exchanges(
                    new EmbeddedChannel().eventLoop(),
                    mState,
                    null,
                    null,
                    new RequestLogger(
                            () -> mNow, new RequestMetrics(), mState.configurationProgress()),
                    null,
                    null);

    /** Keeps the refusal; these tests expect no answer of an endpoint. */
    private static final class RefusalRecorder implements CallerResponse {
        private RefusalResponse mRefusal;

        @Override
        public void start(final EndpointResponse response) {
            throw new IllegalStateException("no endpoint has answered");
        }

        @Override
        public boolean write(final ByteBuf bytes) {
            throw new IllegalStateException("no endpoint has answered");
        }

        @Override
        public void finish() {
            throw new IllegalStateException("no endpoint has answered");
        }

        @Override
        public void abort() {
            throw new IllegalStateException("no endpoint has answered");
        }

        @Override
        public void refuse(final RefusalResponse refusal) {
            mRefusal = refusal;
        }
    }

    @BeforeEach
    void putConfigurationInForce() {
        final Route route =
                Route.builder()
                        .name("post")
                        .match("desk.example", "/posts/")
                        .kind(RouteKind.NON_IDEMPOTENT, false)
                        .times(Duration.ofSeconds(1), Duration.ofMillis(100))
                        .service(new WeightedService("api", 1))
                        .maxAttempts(1)
                        .build();
        final Route stream =
                Route.builder()
                        .name("draft")
                        .match("desk.example", "/drafts/")
                        .kind(RouteKind.STREAMING, true)
                        .times(Duration.ofSeconds(4), Duration.ofMillis(600))
                        .service(new WeightedService("pool", 1))
                        .maxAttempts(2)
                        .build();
        final CustomerAccount customer =
                new CustomerAccount("clinic", List.of("key-1"), OptionalInt.empty(), NO_LIMIT);
        final CustomerAccount limited =
                new CustomerAccount("shop", List.of("key-3"), OptionalInt.empty(), LIMITED);
        mState.offerConfiguration(
                new ServingConfiguration(
                        7,
                        List.of(route, stream),
                        List.of(),
                        CallerLimits.INITIAL,
                        List.of(customer, limited),
                        new RejectedEntries(
                                List.of(new RejectedEntry("routes[2]", "no service")),
                                List.of(new RoutePattern("desk.example", "/posts/odd/")),
                                Set.of("key-odd"),
                                true)));
    }

    // Guards against requests being refused for good, or served by another route, as an entry of
    // the configuration can't be used.
    @Test
    void requestsOfRejectedEntriesAreRefusedForNow() {
        for (final RefusalResponse refusal :
                List.of(refusalOf("/posts/odd/1", "key-1"), refusalOf("/posts/1", "key-odd"))) {
            assertThat(refusal.status().code()).isEqualTo(503);
            assertThat(refusal.retryAfter()).contains(Duration.ofSeconds(1));
        }
        assertThat(refusalOf("/posts/1", "key-unknown").status().code()).isEqualTo(401);
    }

    private RefusalResponse refusalOf(final String target, final String key) {
        final RefusalRecorder response = new RefusalRecorder();
        mExchanges.serve(request(target, key), Unpooled.EMPTY_BUFFER, response);
        return response.mRefusal;
    }

    private static CallerRequest request(final String target, final String key) {
        return CallerRequest.builder()
                .id("r-1")
                .call(HttpMethod.POST, "desk.example", target)
                .key(Optional.of(key))
                .forwardedHeaders(new DefaultHttpHeaders())
                .build();
    }

    private RefusalResponse refusalOfResumption(final Optional<String> resumedRequest) {
        return refusalOfResumption(resumedRequest, Optional.empty());
    }

    private RefusalResponse refusalOfResumption(
            final Optional<String> resumedRequest, final Optional<Duration> deadline) {
        final RefusalRecorder response = new RefusalRecorder();
        mExchanges.serve(
                CallerRequest.builder()
                        .id("r-2")
                        .call(HttpMethod.POST, "desk.example", "/drafts/1")
                        .key(Optional.of("key-1"))
                        .resumeAfter(Optional.of("3"))
                        .resumedRequest(resumedRequest)
                        .deadline(deadline)
                        .forwardedHeaders(new DefaultHttpHeaders())
                        .build(),
                Unpooled.EMPTY_BUFFER,
                response);
        return response.mRefusal;
    }

    private void recordStream(final String service, final String version) {
        final StreamKey key =
                StreamIdentifier.identify(
                        CallerRequest.builder()
                                .id("r-1")
                                .call(HttpMethod.POST, "desk.example", "/drafts/1")
                                .forwardedHeaders(new DefaultHttpHeaders())
                                .build(),
                        Optional.of("clinic"),
                        "r-1");
        mState.streams()
                .add(
                        new StreamRecord(
                                key, new StreamOrigin(service, version), Duration.ofSeconds(9)),
                        NOW);
    }

    // Guards against joining events of two versions: nobody knows where the stream began. Its
    // caller may begin anew at once, as waiting would not help.
    @Test
    void resumptionOfUnknownStreamIsRefusedWithoutDelay() {
        assertThat(refusalOfResumption(Optional.of("r-1")))
                .isEqualTo(RefusalResponse.notRunForGood("resumed stream not known"));
        assertThat(refusalOfResumption(Optional.empty()))
                .isEqualTo(RefusalResponse.notRunForGood("resumed stream not named"));
        assertThat(refusalOfResumption(Optional.of("r-2")))
                .isEqualTo(RefusalResponse.notRunForGood("request resumes itself"));
    }

    @Test
    void resumptionWithAnIdOfTwoStreamsIsRefused() {
        recordStream("pool", "v1");
        recordStream("pool", "v1.1");
        assertThat(refusalOfResumption(Optional.of("r-1")))
                .isEqualTo(RefusalResponse.notRunForGood("id of resumed stream used twice"));
    }

    // Guards against a stream that goes on at another service: its route was moved meanwhile.
    @Test
    void resumptionOfStreamOfReplacedServiceIsRefused() {
        recordStream("other-pool", "v1");
        assertThat(refusalOfResumption(Optional.of("r-1")))
                .isEqualTo(RefusalResponse.notRunForGood("service of resumed stream replaced"));
    }

    private void passTime(final Duration duration) {
        final Instant end = mNow.plus(duration);
        while (mNow.isBefore(end)) {
            mNow = mNow.plus(Exchanges.LAG_MEASUREMENT_INTERVAL);
            mExchanges.measureLag();
            mState.versions().recordConfirmed(mState.moment());
        }
    }

    private void listOnlyVersion() {
        mState.endpoints().put(TestServing.endpoint("e-1", true), 1);
        mState.observeVersions();
        mState.versions().recordConfirmed(mState.moment());
    }

    // Guards against streams that are given up needlessly: their callers don't name them, or all
    // daemons were killed, while only one version has served.
    @Test
    void resumptionOfUnknownStreamContinuesIfOnlyOneVersionHasServed() {
        listOnlyVersion();
        assertThat(refusalOfResumption(Optional.of("r-1")))
                .isEqualTo(RefusalResponse.notRunForGood("resumed stream not known"));
        passTime(Duration.ofSeconds(12));
        // The only endpoint is leaving, so nothing is sent.
        assertThat(refusalOfResumption(Optional.empty()))
                .isEqualTo(RefusalResponse.notRunForGood("no endpoint left"));
        passTime(Duration.ofMinutes(5));
        assertThat(refusalOfResumption(Optional.of("r-1")))
                .isEqualTo(RefusalResponse.notRunForGood("no endpoint left"));
    }

    // Guards against joining two versions after all daemons were killed: callers come back several
    // times, each time with a deadline of its own, so a named stream may be older than any of them.
    @Test
    void namedStreamMayBeOlderThanTheTimeoutOfItsRoute() {
        listOnlyVersion();
        passTime(Duration.ofSeconds(100));
        assertThat(refusalOfResumption(Optional.of("r-1")))
                .isEqualTo(RefusalResponse.notRunForGood("resumed stream not known"));
    }

    // Guards against joining two versions after all daemons were killed: a caller that doesn't name
    // its stream waits longer than the timeout of the route.
    @Test
    void unnamedStreamMayBeAsOldAsTheLongestDeadline() {
        listOnlyVersion();
        refusalOfResumption(Optional.empty(), Optional.of(Duration.ofSeconds(60)));
        passTime(Duration.ofSeconds(20));
        assertThat(refusalOfResumption(Optional.empty(), Optional.of(Duration.ofSeconds(1))))
                .isEqualTo(RefusalResponse.notRunForGood("resumed stream not named"));
        passTime(Duration.ofSeconds(45));
        assertThat(refusalOfResumption(Optional.empty(), Optional.of(Duration.ofSeconds(1))))
                .isEqualTo(RefusalResponse.notRunForGood("no endpoint left"));
    }

    // Guards against callers that wait and come back for a stream whose version has no endpoint.
    @Test
    void resumptionWithoutEndpointOfItsVersionIsRefusedWithoutDelay() {
        recordStream("pool", "v1");
        assertThat(refusalOfResumption(Optional.of("r-1")))
                .isEqualTo(RefusalResponse.notRunForGood("no endpoint left"));
    }

    /** Passes time during which the event loop was not busy. */
    private void moveTo(final Instant time) {
        mNow = time;
        mExchanges.measureLag();
        mExchanges.measureLag();
    }

    // Guards against requests that are passed on late in the grace and cut at its end: each kind is
    // refused from the moment on at which its own limit may pass after the last answers.
    @Test
    void requestThatMayOutlastTheProcessIsRefusedAtOnce() {
        final StopSchedule schedule = new StopSchedule(mNow, GRACE);
        mExchanges.beginStop(schedule);
        final RefusalResponse stopping = RefusalResponse.notRun("stopping", Duration.ZERO);
        moveTo(schedule.lastAnswersAt().minus(Duration.ofSeconds(4)));
        assertThat(refusalOf("/drafts/1", "key-1").reason()).isEqualTo("no endpoint left");
        moveTo(mNow.plusMillis(1));
        assertThat(refusalOf("/drafts/1", "key-1")).isEqualTo(stopping);
        moveTo(schedule.lastAnswersAt().minus(Duration.ofSeconds(1)));
        assertThat(refusalOf("/posts/1", "key-1").reason()).isEqualTo("no endpoint left");
        moveTo(mNow.plusMillis(1));
        assertThat(refusalOf("/posts/1", "key-1")).isEqualTo(stopping);
    }

    // Guards against requests that are refused although their caller waits less than the route.
    @Test
    void statedDeadlineCountsAsLimitOfRequest() {
        final StopSchedule schedule = new StopSchedule(mNow, GRACE);
        mExchanges.beginStop(schedule);
        moveTo(schedule.lastAnswersAt().minus(Duration.ofMillis(100)));
        assertThat(
                        refusalOfResumption(Optional.of("r-1"), Optional.of(Duration.ofMillis(100)))
                                .reason())
                .isEqualTo("resumed stream not known");
        assertThat(
                        refusalOfResumption(Optional.of("r-1"), Optional.of(Duration.ofMillis(101)))
                                .reason())
                .isEqualTo("stopping");
    }

    // Guards against requests that are sent although the stop has begun while they waited for their
    // customer's tokens or for the origin of their stream.
    @Test
    void requestThatIsStartedDuringStopIsRefusedIfItMayOutlastTheProcess() {
        final RefusalRecorder response = new RefusalRecorder();
        final AdmittedRequest waiting =
                new AdmittedRequest(
                        request("/drafts/1", "key-1"),
                        mState.configuration()
                                .current()
                                .orElseThrow()
                                .routes()
                                .find("desk.example", "/drafts/1")
                                .orElseThrow(),
                        Optional.empty(),
                        Optional.empty(),
                        mNow);
        mExchanges.beginStop(new StopSchedule(mNow, Duration.ofSeconds(3)));
        mExchanges.start(waiting, Unpooled.EMPTY_BUFFER, response);
        assertThat(response.mRefusal).isEqualTo(RefusalResponse.notRun("stopping", Duration.ZERO));
    }

    // Guards against a request without any answer: it waits for its customer's tokens as the last
    // answers are due.
    @Test
    void requestThatWaitsForTokensGetsLastAnswer() {
        final InetSocketAddress other = new InetSocketAddress("127.0.0.3", 7600);
        mState.quotas()
                .configure(
                        mState.configuration().current().orElseThrow().customers(),
                        mState.moment());
        mState.quotas()
                .heldShares()
                .updateTable(ShareTable.initial(List.of(other)), mState.moment());
        final RefusalRecorder response = new RefusalRecorder();
        mExchanges.serve(request("/posts/1", "key-3"), Unpooled.EMPTY_BUFFER, response);
        assertThat(response.mRefusal).isNull();
        mExchanges.beginStop(new StopSchedule(mNow, GRACE));
        mExchanges.answerBeforeExit();
        assertThat(response.mRefusal).isEqualTo(RefusalResponse.notRun("stopping", Duration.ZERO));
    }

    @Test
    void whatTheConfigurationDoesNotAllowIsRefusedForGood() {
        assertThat(refusalOf("/new/1", "key-1").status().code()).isEqualTo(404);
        assertThat(refusalOf("/posts/1", "key-2").status().code()).isEqualTo(401);
    }

    // Guards against a proper request that is turned away for good: a route or a key was added, and
    // this daemon knows that it hasn't read the newer configuration yet.
    @Test
    void daemonThatIsBehindRefusesNothingForGood() {
        mState.configurationProgress().recordAnnounced(9, NOW);
        assertThat(refusalOf("/new/1", "key-1").status().code()).isEqualTo(503);
        assertThat(refusalOf("/posts/1", "key-2").status().code()).isEqualTo(503);
        assertThat(refusalOf("/posts/1", "key-2").retryAfter()).isPresent();
    }
}
