package org.whinhead.gateway.exchange;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.DefaultEventLoop;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.ratelimit.RequestRateLimit;

class PermitGateTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final EndpointEntry ENDPOINT = TestServing.endpoint("e-1", false);
    private static final Duration INTERVAL = Duration.ofSeconds(1);

    private Instant mNow = START;
    private final ServingState mState = TestServing.state(() -> mNow);
    private final PermitGate mGate = gate();
    private final List<String> mOutcomes = new ArrayList<>();

    private PermitGate gate() {
        return new PermitGate(mState, new DefaultEventLoop());
    }

    private void enter(final PermitGate gate, final String endpoint) {
        gate.enter(
                endpoint,
                Duration.ZERO,
                () -> mOutcomes.add("passed"),
                () -> mOutcomes.add("denied"));
    }

    /** Lets the endpoint name its limit, and the first interval pass. */
    @BeforeEach
    void nameLimit() {
        mState.requestLimits()
                .recordAnswer(ENDPOINT, Optional.of(new RequestRateLimit(1)), mNow, mNow);
        enter(gate(), ENDPOINT.id());
        assertThat(mOutcomes).containsExactly("denied");
        mOutcomes.clear();
        mNow = mNow.plus(INTERVAL);
    }

    @Test
    void attemptAtEndpointWithoutLimitPasses() {
        enter(mGate, "e-2");
        enter(gate(), "e-2");
        assertThat(mOutcomes).containsExactly("passed", "passed");
        assertThat(mGate.isLate()).isFalse();
    }

    @Test
    void permitOfAttemptThatWasSentIsSpent() {
        enter(mGate, ENDPOINT.id());
        mGate.attemptSent();
        mGate.leave();
        enter(gate(), ENDPOINT.id());
        assertThat(mOutcomes).containsExactly("passed", "denied");
    }

    // Guards against an endpoint that is used less than its limit allows: an attempt that was
    // granted a permit has found no connection, or its caller has left.
    @Test
    void permitOfAttemptThatWasNotSentIsGivenBack() {
        enter(mGate, ENDPOINT.id());
        mGate.leave();
        enter(gate(), ENDPOINT.id());
        assertThat(mOutcomes).containsExactly("passed", "passed");
    }

    // Guards against a second attempt of the same request that keeps the permit of the first one.
    @Test
    void nextAttemptOfRequestGivesFirstPermitBack() {
        enter(mGate, ENDPOINT.id());
        enter(mGate, ENDPOINT.id());
        assertThat(mOutcomes).containsExactly("passed", "passed");
    }

    // Guards against an endpoint that gets more than its limit: this process stood still after the
    // permit, and the owner has granted the time after it to another daemon.
    @Test
    void permitIsVoidAfterPause() {
        enter(mGate, ENDPOINT.id());
        assertThat(mGate.isLate()).isFalse();
        mNow = mNow.plusMillis(251);
        assertThat(mGate.isLate()).isTrue();
        mGate.leave();
        assertThat(mGate.isLate()).isFalse();
    }
}
