package org.whinhead.requests;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.whinhead.api.model.EndpointId;
import org.whinhead.api.request.AttemptId;
import org.whinhead.api.request.RequestId;

class RecoveryTest {

    private static final Duration SECOND = Duration.ofSeconds(1);

    private static final Predicate<String> REFUSED = action -> action.startsWith("refuse");

    private final CoordinatorHarness mWorld = new CoordinatorHarness("ab");

    /**
     * The connection breaks in the middle of an answer, and then the engine is gone. The caller
     * must get the rest without a gap, a repeat or a word of the failed attempt that comes late.
     */
    @Test
    void brokenStreamIsResumedOnceAndThenContinuedElsewhere() {
        mWorld.chat(true).opened(1, "s1").token(1, 0, "x ").token(1, 0, "x ");
        mWorld.failed(1, AttemptFailure.CUT_DURING_ANSWER).token(1, 1, "late ");
        mWorld.failed(2, AttemptFailure.CONNECT_FAILED).pass(SECOND).tick();
        mWorld.token(3, 2, "z ").token(3, 1, "y ").token(2, 3, "late ");
        assertThat(mWorld.actions())
                .containsExactly(
                        "generate r#1 a  0",
                        "deliver r 0 x ",
                        "release r#1",
                        "resume r#2 a s1 1",
                        "generate r#3 b x  1",
                        "deliver r 1 y ",
                        "deliver r 2 z ");
        assertThat(
                        mWorld.coordinator()
                                .recoveryCounters()
                                .recomputedTokens(RecoveryCause.ENGINE_FAILED))
                .isEqualTo(11);
    }

    /** The baseline that measurements compare with: nothing of a failed engine's work is used. */
    @Test
    void startingOverGeneratesFromTheStartAndDeliversOnlyTheRest() {
        final RequestSettings settings =
                RequestSettings.builder().recovery(RecoveryMode.START_OVER).build();
        final CoordinatorHarness world = new CoordinatorHarness(settings, "ab");
        world.chat(true).opened(1, "s1").token(1, 0, "x ");
        world.coordinator().onEndpointLeaving(new EndpointId("a"), world.now(), world.now());
        world.failed(1, AttemptFailure.CUT_DURING_ANSWER).pass(SECOND).tick();
        world.opened(2, "s2").token(2, 0, "x ").token(2, 1, "y ");
        assertThat(world.actions())
                .containsSubsequence("deliver r 0 x ", "generate r#2 b  0", "deliver r 1 y ")
                .noneMatch(action -> action.startsWith("resume") || action.startsWith("move"));
    }

    /**
     * Engines take a request, begin to answer and die, one after the other. Were the bounds those
     * of one attempt, the request would be sent out again and again, and its caller hear nothing
     * final.
     */
    @Test
    void boundsCoverAttemptsThatFailedInTheirAnswer() {
        final RequestSettings.Builder settings = RequestSettings.builder().maxDispatches(2);
        assertThat(dispatchesOfDyingEngines(settings)).isEqualTo(2);
        settings.retryScope(RetryScope.ATTEMPT);
        assertThat(dispatchesOfDyingEngines(settings)).isEqualTo(5);
    }

    private static long dispatchesOfDyingEngines(final RequestSettings.Builder settings) {
        final CoordinatorHarness world = new CoordinatorHarness(settings.build(), "abcd");
        world.chat(true);
        for (int attempt = 1; attempt <= 4; attempt++) {
            world.opened(attempt, "s" + attempt);
            world.failed(attempt, AttemptFailure.FAULTED).pass(Duration.ofMillis(200)).tick();
        }
        return world.actions().stream().filter(action -> action.startsWith("generate")).count();
    }

    /**
     * An engine can't continue text, so the request starts over, and the new run differs from what
     * the caller has. Mixed, it would read as an answer that no run gave.
     */
    @Test
    void restartThatDiffersFromTheDeliveredTextIsLeft() {
        mWorld.chat(true).opened(1, "s1").token(1, 0, "x ");
        mWorld.failed(1, AttemptFailure.FAULTED).pass(SECOND).tick();
        mWorld.failed(2, AttemptFailure.REJECTED).pass(SECOND).tick();
        mWorld.opened(3, "s3").token(3, 0, "other ").token(3, 1, "y ");
        assertThat(mWorld.actions())
                .containsExactly(
                        "generate r#1 a  0",
                        "deliver r 0 x ",
                        "generate r#2 b x  1",
                        "generate r#3 a  0",
                        "cancel r#3 a s3",
                        "generate r#4 a  0");
    }

    /**
     * A caller's connection drops unseen and it comes back to the same daemon. It must get what it
     * missed from its own index on, and the former attempt must not deliver beside the new one.
     */
    @Test
    void callerThatComesBackToItsDaemonGetsEachTokenOnce() {
        mWorld.chat(true).opened(1, "s1").token(1, 0, "x ").token(1, 1, "y ");
        mWorld.returned(true, 1, "x ").token(1, 2, "z ").token(2, 1, "y ").token(2, 2, "z ");
        assertThat(mWorld.actions())
                .containsExactly(
                        "generate r#1 a  0",
                        "deliver r 0 x ",
                        "deliver r 1 y ",
                        "release r#1",
                        "resume r#2 a s1 1",
                        "deliver r 1 y ",
                        "deliver r 2 z ");
    }

    /**
     * A daemon is gone and its callers come back to another one, which is full with them. Were they
     * not counted, new requests would be sent beside them and all would be late.
     */
    @Test
    void callerThatComesBackHoldsSlotUntilItsEnd() {
        final CoordinatorHarness world =
                new CoordinatorHarness(RequestSettings.builder().build(), "ab", 1);
        final RequestId next = new RequestId("next");
        world.returned(true, 1, "x ")
                .coordinator()
                .submit(CoordinatorHarness.spec(next).service("x").build(), world.now());
        assertThat(world.actions()).containsExactly("resume r#2 a s1 1");
        world.coordinator().onCallerDisconnected(CoordinatorHarness.ID, world.now());
        assertThat(world.actions()).containsExactly("cancel r#2 a s1", "call next#1 a");
    }

    /** A frozen engine answers nothing and breaks no connection; the caller would wait for good. */
    @Test
    void silentEngineIsLeftAfterTheBoundOfItsTier() {
        mWorld.chat(true).opened(1, "s1").pass(Duration.ofSeconds(20)).tick().pass(SECOND).tick();
        assertThat(mWorld.actions())
                .containsExactly("generate r#1 a  0", "cancel r#1 a s1", "generate r#2 b  0");
    }

    /**
     * An engine leaves, and the move takes too long: the answer is continued elsewhere. Then the
     * move succeeds after all; its stream would generate to the end for nobody.
     */
    @Test
    void lateMoveIsCancelled() {
        mWorld.chat(true).opened(1, "s1").token(1, 0, "x ");
        mWorld.coordinator()
                .onEndpointLeaving(new EndpointId("a"), mWorld.now().plusSeconds(9), mWorld.now());
        mWorld.token(1, 1, "y ").pass(Duration.ofSeconds(2)).tick().moved(2, "s2");
        assertThat(mWorld.actions())
                .containsExactly(
                        "generate r#1 a  0",
                        "deliver r 0 x ",
                        "move r#2 a s1 b",
                        "deliver r 1 y ",
                        "cancel r#2 b ",
                        "cancel r#1 a s1",
                        "generate r#3 b x y  2",
                        "cancel r#2 b s2");
    }

    /**
     * Engines that are left after a reclaim refuse for some seconds. Were quick refusals counted
     * like failures, a half-read answer would be given up within a fraction of a second.
     */
    @Test
    void refusalsUseUpPatienceAndNotTheCountOfRuns() {
        mWorld.chat(true).opened(1, "s1").token(1, 0, "x ");
        mWorld.failed(1, AttemptFailure.FAULTED).pass(SECOND).tick();
        for (int attempt = 2; attempt < 6; attempt++) {
            mWorld.failed(attempt, AttemptFailure.REFUSED_BY_ENDPOINT).pass(SECOND).tick();
        }
        assertThat(mWorld.actions()).endsWith("generate r#6 a x  1").noneMatch(REFUSED);
        mWorld.pass(SECOND).failed(6, AttemptFailure.REFUSED_BY_ENDPOINT);
        assertThat(mWorld.actions()).containsExactly("refuse r RETRIES_SPENT MAY_HAVE_RUN PT1S");
    }

    /**
     * All endpoints refuse. Without a cap each request would be sent four times and the load would
     * grow fourfold just when there is too little room.
     */
    @Test
    void retriesStayWithinTheirShareOfTheTraffic() {
        final int requests = 1000;
        final RequestSettings settings =
                RequestSettings.builder().retries(0.1, 10).patience(SECOND).build();
        final CoordinatorHarness world = new CoordinatorHarness(settings, "ab");
        for (int number = 0; number < requests; number++) {
            final RequestId id = new RequestId("r" + number);
            world.coordinator()
                    .submit(CoordinatorHarness.spec(id).service("x").build(), world.now());
            world.event(failure(id, 1));
        }
        IntStream.range(0, 40).forEach(round -> world.pass(Duration.ofMillis(50)).tick());
        final long sent =
                world.actions().stream().filter(action -> action.startsWith("call")).count();
        // The burst of 10 is refilled by first dispatches and by one retry a second.
        assertThat(sent - requests).isBetween(1L, 10L + 2);
        assertThat(world.coordinator().requestCount()).isEqualTo(sent - requests);
    }

    private static AttemptEvent failure(final RequestId request, final int attempt) {
        return new AttemptEvent.Failed(
                new AttemptId(request, attempt), AttemptFailure.REFUSED_BY_ENDPOINT, "full");
    }
}
