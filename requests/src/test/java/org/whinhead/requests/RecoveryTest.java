package org.whinhead.requests;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.tuple;

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

    private final CoordinatorHarness mHarness = new CoordinatorHarness("ab");

    /**
     * Guards against gaps, repeats and late tokens of a failed attempt in the answer, when the
     * connection fails in the middle of it and the engine is unreachable afterwards.
     */
    @Test
    void brokenStreamIsResumedOnceAndThenContinuedElsewhere() {
        mHarness.chat(true).opened(1, "s1").token(1, 0, "x ").token(1, 0, "x ");
        mHarness.failed(1, AttemptFailure.CUT_DURING_ANSWER).token(1, 1, "late ");
        mHarness.failed(2, AttemptFailure.CONNECT_FAILED).pass(SECOND).tick();
        mHarness.token(3, 2, "z ").token(3, 1, "y ").token(2, 3, "late ");
        assertThat(mHarness.actions())
                .containsExactly(
                        "generate r#1 a  0",
                        "deliver r 0 x ",
                        "release r#1",
                        "resume r#2 a s1 1",
                        "generate r#3 b x  1",
                        "deliver r 1 y ",
                        "deliver r 2 z ");
        assertThat(
                        mHarness.coordinator()
                                .recoveryCounters()
                                .recomputedTokens(RecoveryCause.ENGINE_FAILED))
                .isEqualTo(11);
    }

    /**
     * Guards against decisions that do not show whether a lost daemon knew the stream of a request
     * that was computed again.
     */
    @Test
    void decisionsShowWhenAnEngineNamedItsStream() {
        mHarness.chat(true).opened(1, "s1");
        assertThat(mHarness.coordinator().decisionLog().findByRequest(new RequestId("r")))
                .extracting(Decision::kind, Decision::cause)
                .contains(tuple(DecisionKind.OPENED, "s1"));
    }

    /** The baseline of measurements: no work of a failed engine is reused. */
    @Test
    void startingOverGeneratesFromTheStartAndDeliversOnlyTheRest() {
        final RequestSettings settings =
                RequestSettings.builder().recovery(RecoveryMode.START_OVER).build();
        final CoordinatorHarness harness = new CoordinatorHarness(settings, "ab");
        harness.chat(true).opened(1, "s1").token(1, 0, "x ");
        harness.coordinator().onEndpointLeaving(new EndpointId("a"), harness.now(), harness.now());
        harness.failed(1, AttemptFailure.CUT_DURING_ANSWER).pass(SECOND).tick();
        harness.opened(2, "s2").token(2, 0, "x ").token(2, 1, "y ");
        assertThat(harness.actions())
                .containsSubsequence("deliver r 0 x ", "generate r#2 b  0", "deliver r 1 y ")
                .noneMatch(action -> action.startsWith("resume") || action.startsWith("move"));
    }

    /**
     * Guards against endless dispatches without a final response, when one engine after the other
     * begins to answer and fails. Bounds that cover only one attempt permit that.
     */
    @Test
    void boundsCoverAttemptsThatFailedDuringTheirAnswer() {
        final RequestSettings.Builder settings = RequestSettings.builder().maxDispatches(2);
        assertThat(countDispatchesToFailingEngines(settings)).isEqualTo(2);
        settings.retryScope(RetryScope.ATTEMPT);
        assertThat(countDispatchesToFailingEngines(settings)).isEqualTo(5);
    }

    private static long countDispatchesToFailingEngines(final RequestSettings.Builder settings) {
        final CoordinatorHarness harness = new CoordinatorHarness(settings.build(), "abcd");
        harness.chat(true);
        for (int attempt = 1; attempt <= 4; attempt++) {
            harness.opened(attempt, "s" + attempt);
            harness.failed(attempt, AttemptFailure.FAULTED).pass(Duration.ofMillis(200)).tick();
        }
        return harness.actions().stream().filter(action -> action.startsWith("generate")).count();
    }

    /**
     * Guards against an answer mixed from two runs, when an engine cannot continue text, the
     * request starts over, and the new run differs from the delivered text.
     */
    @Test
    void restartThatDiffersFromTheDeliveredTextIsAbandoned() {
        mHarness.chat(true).opened(1, "s1").token(1, 0, "x ");
        mHarness.failed(1, AttemptFailure.FAULTED).pass(SECOND).tick();
        mHarness.failed(2, AttemptFailure.REJECTED).pass(SECOND).tick();
        mHarness.opened(3, "s3").token(3, 0, "other ").token(3, 1, "y ");
        assertThat(mHarness.actions())
                .containsExactly(
                        "generate r#1 a  0",
                        "deliver r 0 x ",
                        "generate r#2 b x  1",
                        "generate r#3 a  0",
                        "cancel r#3 a s3",
                        "generate r#4 a  0");
    }

    /**
     * Guards against missing or repeated tokens, when a connection drops undetected and the caller
     * returns to the same daemon: the new attempt starts at the caller's index, and the former
     * attempt delivers nothing more.
     */
    @Test
    void callerThatReturnsToItsDaemonReceivesEachTokenOnce() {
        mHarness.chat(true).opened(1, "s1").token(1, 0, "x ").token(1, 1, "y ");
        mHarness.returned(true, 1, "x ").token(1, 2, "z ").token(2, 1, "y ").token(2, 2, "z ");
        assertThat(mHarness.actions())
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
     * Guards against overload, when callers of a lost daemon return to another one and occupy all
     * its slots: if they were not counted, new requests would run beside them and all would be
     * late.
     */
    @Test
    void returnedCallerOccupiesSlotUntilItsRequestEnds() {
        final CoordinatorHarness harness =
                new CoordinatorHarness(RequestSettings.builder().build(), "ab", 1);
        final RequestId next = new RequestId("next");
        harness.returned(true, 1, "x ")
                .coordinator()
                .submit(CoordinatorHarness.spec(next).service("x").build(), harness.now());
        assertThat(harness.actions()).containsExactly("resume r#2 a s1 1");
        harness.coordinator().onCallerDisconnected(CoordinatorHarness.ID, harness.now());
        assertThat(harness.actions()).containsExactly("cancel r#2 a s1", "call next#1 a");
    }

    /**
     * Guards against an endless wait for a frozen engine, which sends nothing but stays connected.
     */
    @Test
    void silentEngineIsAbandonedAfterTheLimitOfItsTier() {
        mHarness.chat(true).opened(1, "s1").pass(Duration.ofSeconds(20)).tick().pass(SECOND).tick();
        assertThat(mHarness.actions())
                .containsExactly("generate r#1 a  0", "cancel r#1 a s1", "generate r#2 b  0");
    }

    /**
     * Guards against an unread stream, when the move from a leaving engine times out, the answer is
     * continued elsewhere, and the move then succeeds after all.
     */
    @Test
    void lateMoveIsCancelled() {
        mHarness.chat(true).opened(1, "s1").token(1, 0, "x ");
        mHarness.coordinator()
                .onEndpointLeaving(
                        new EndpointId("a"), mHarness.now().plusSeconds(9), mHarness.now());
        mHarness.token(1, 1, "y ").pass(Duration.ofSeconds(2)).tick().moved(2, "s2");
        assertThat(mHarness.actions())
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
     * Guards against the early end of a partly delivered answer, when the engines that remain after
     * a reclaim refuse for some seconds: counted as failures, quick refusals would exhaust the
     * dispatches within a fraction of a second.
     */
    @Test
    void refusalsConsumePatienceButNotTheDispatchLimit() {
        mHarness.chat(true).opened(1, "s1").token(1, 0, "x ");
        mHarness.failed(1, AttemptFailure.FAULTED).pass(SECOND).tick();
        for (int attempt = 2; attempt < 6; attempt++) {
            mHarness.failed(attempt, AttemptFailure.REFUSED_BY_ENDPOINT).pass(SECOND).tick();
        }
        assertThat(mHarness.actions()).endsWith("generate r#6 a x  1").noneMatch(REFUSED);
        mHarness.pass(SECOND).failed(6, AttemptFailure.REFUSED_BY_ENDPOINT);
        assertThat(mHarness.actions()).containsExactly("refuse r RETRIES_SPENT MAY_HAVE_RUN PT1S");
    }

    /**
     * Guards against a retry storm when all endpoints refuse: without a limit, each request would
     * be sent four times, and the load would grow fourfold when capacity is short.
     */
    @Test
    void retriesStayWithinTheirShareOfTraffic() {
        final int requests = 1000;
        final RequestSettings settings =
                RequestSettings.builder().retries(0.1, 10).patience(SECOND).build();
        final CoordinatorHarness harness = new CoordinatorHarness(settings, "ab");
        for (int number = 0; number < requests; number++) {
            final RequestId id = new RequestId("r" + number);
            harness.coordinator()
                    .submit(CoordinatorHarness.spec(id).service("x").build(), harness.now());
            harness.event(failure(id, 1));
        }
        IntStream.range(0, 40).forEach(round -> harness.pass(Duration.ofMillis(50)).tick());
        final long sent =
                harness.actions().stream().filter(action -> action.startsWith("call")).count();
        // The burst of 10 is refilled by first dispatches and by one retry a second.
        assertThat(sent - requests).isBetween(1L, 10L + 2);
        assertThat(harness.coordinator().requestCount()).isEqualTo(sent - requests);
    }

    private static AttemptEvent failure(final RequestId request, final int attempt) {
        return new AttemptEvent.Failed(
                new AttemptId(request, attempt), AttemptFailure.REFUSED_BY_ENDPOINT, "full");
    }
}
