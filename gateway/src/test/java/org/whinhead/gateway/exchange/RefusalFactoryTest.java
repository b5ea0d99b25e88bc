package org.whinhead.gateway.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.caller.CallerRequest;
import org.whinhead.gateway.caller.RefusalResponse;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.ratelimit.RequestRateLimit;
import org.whinhead.serving.route.Route;
import org.whinhead.serving.route.RouteKind;
import org.whinhead.serving.route.WeightedService;

class RefusalFactoryTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private Instant mNow = START;
    private final ServingState mState = TestServing.state(() -> mNow);
    private final RefusalFactory mRefusals = new RefusalFactory(mState, admission());

    private static AdmittedRequest admission() {
        return admission("r-1", 0, Duration.ofSeconds(1));
    }

    private static AdmittedRequest admission(
            final String id, final int priority, final Duration timeout) {
        final CallerRequest request =
                CallerRequest.builder()
                        .id(id)
                        .call(HttpMethod.POST, "desk.example", "/posts/1")
                        .forwardedHeaders(new DefaultHttpHeaders())
                        .build();
        final Route route =
                Route.builder()
                        .name("post")
                        .match("desk.example", "/posts/")
                        .kind(RouteKind.NON_IDEMPOTENT, false)
                        .times(timeout, Duration.ofMillis(100))
                        .priority(priority)
                        .service(new WeightedService("api", 1))
                        .maxAttempts(1)
                        .build();
        return new AdmittedRequest(request, route, Optional.empty(), Optional.empty(), START);
    }

    @Test
    void requestThatDidNotRunIsRefusedWithRetryDelay() {
        assertThat(mRefusals.givenUpRefusal("none left").status().code()).isEqualTo(503);
        assertThat(mRefusals.givenUpRefusal("none left").retryAfter().orElseThrow())
                .isBetween(Duration.ofMillis(80), Duration.ofMillis(300));
    }

    @Test
    void requestThatMayHaveRunIsRefusedAsGatewayError() {
        mRefusals.markMayHaveRun();
        assertThat(mRefusals.givenUpRefusal("lost").status().code()).isEqualTo(502);
        assertThat(mRefusals.timeoutRefusal("late").status().code()).isEqualTo(504);
    }

    // Guards against callers that all return at once when the pause of their endpoints ends, before
    // the more urgent ones, or later than they heed.
    @Test
    void requestInPauseIsToldItsEnd() {
        final Duration soon = Duration.ofMillis(100);
        final Duration urgent = pausedDelay("9c41d07be2a35f68", 0, soon);
        final Duration other = pausedDelay("bc66136b9d108673", 0, soon);
        assertThat(urgent).isNotEqualTo(other).isBetween(soon, soon.plusMillis(200));
        assertThat(pausedDelay("9c41d07be2a35f68", 3, soon)).isGreaterThan(urgent.plusMillis(500));
        assertThat(pausedDelay("r-1", 0, Duration.ofSeconds(9))).isEqualTo(Duration.ofSeconds(1));
    }

    private Duration pausedDelay(final String id, final int priority, final Duration wait) {
        return new RefusalFactory(mState, admission(id, priority, Duration.ofSeconds(3)))
                .pausedRefusal("paused", wait)
                .retryAfter()
                .orElseThrow();
    }

    // Guards against callers that all return at the one time that is free.
    @Test
    void requestAtLimitIsToldTimeWithinNextInterval() {
        final EndpointEntry endpoint = TestServing.endpoint("e-1", false);
        mState.requestLimits()
                .recordAnswer(endpoint, Optional.of(new RequestRateLimit(2)), START, START);
        final RefusalResponse refusal = mRefusals.requestLimitRefusal(List.of(endpoint));
        assertThat(refusal.status().code()).isEqualTo(503);
        assertThat(refusal.retryAfter().orElseThrow())
                .isBetween(Duration.ZERO, Duration.ofMillis(500));
    }

    @Test
    void requestAtLimitOfZeroIsToldTimeOfNextTrial() {
        final EndpointEntry endpoint = TestServing.endpoint("e-1", false);
        mState.requestLimits()
                .recordAnswer(endpoint, Optional.of(new RequestRateLimit(0)), START, START);
        assertThat(mRefusals.requestLimitRefusal(List.of(endpoint)).retryAfter().orElseThrow())
                .isBetween(Duration.ZERO, Duration.ofSeconds(5));
    }

    @Test
    void requestAtLimitThatMayHaveRunIsGatewayError() {
        mRefusals.markMayHaveRun();
        assertThat(mRefusals.requestLimitRefusal(List.of()).status().code()).isEqualTo(502);
    }

    // Guards against a negative retry delay, which makes the response malformed. Timers fire late,
    // so the deadline has already passed when the refusal is created.
    @Test
    void retryDelayIsNeverNegative() {
        mNow = START.plusMillis(1_012);
        assertThat(mRefusals.timeoutRefusal("late").retryAfter()).contains(Duration.ZERO);
    }
}
