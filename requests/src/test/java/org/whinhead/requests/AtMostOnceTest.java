package org.whinhead.requests;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.whinhead.api.model.EndpointId;

/**
 * Guards each place where a non-idempotent request could run twice; numbered as in the design note.
 */
class AtMostOnceTest {

    private final CoordinatorHarness mHarness = new CoordinatorHarness("ab");

    /**
     * Place 1. The daemon is paused while its claim is granted, and resumes after the deadline. The
     * refusal lets the caller retry elsewhere, so a dispatch could be a second run.
     */
    @Test
    void grantAfterTheDeadlineIsNotDispatched() {
        mHarness.call(false).pass(Duration.ofSeconds(60)).claim(ClaimOutcome.GRANTED);
        assertThat(mHarness.actions())
                .containsExactly("claim r", "unclaim r", "refuse r DEADLINE_PASSED NOT_RUN PT1S");
    }

    /**
     * Place 2. The caller disconnects while the claim is pending and completes the work by other
     * means. The claim is granted afterwards; a dispatch would repeat the work.
     */
    @Test
    void grantAfterCallerDisconnectedIsNotDispatched() {
        mHarness.call(false)
                .coordinator()
                .onCallerDisconnected(CoordinatorHarness.ID, mHarness.now());
        mHarness.claim(ClaimOutcome.GRANTED);
        assertThat(mHarness.actions()).containsExactly("claim r");
    }

    /** Place 3. A grant is reported twice; a second dispatch would repeat the effect. */
    @Test
    void repeatedGrantDispatchesOnce() {
        mHarness.call(false).claim(ClaimOutcome.GRANTED).claim(ClaimOutcome.GRANTED);
        assertThat(mHarness.actions()).containsExactly("claim r", "call r#1 a");
    }

    /**
     * Place 4. The service accepts the request and the answer is lost. A retry would repeat the
     * effect; the caller is refused immediately as "may have run", and the claim stays held.
     */
    @Test
    void lostAnswerEndsTheRequest() {
        mHarness.call(false).claim(ClaimOutcome.GRANTED);
        mHarness.failed(1, AttemptFailure.CUT_BEFORE_ANSWER);
        assertThat(mHarness.actions())
                .containsExactly(
                        "claim r",
                        "call r#1 a",
                        "cancel r#1 a ",
                        "refuse r ENDPOINT_LOST MAY_HAVE_RUN");
    }

    /**
     * Place 5. The first service is unreachable, the second is reached. The first failure is
     * reported again later; treated as the second attempt's, it would cause a third dispatch.
     */
    @Test
    void onlyAttemptThatCertainlyDidNotRunIsRetried() {
        mHarness.call(false).claim(ClaimOutcome.GRANTED);
        mHarness.failed(1, AttemptFailure.CONNECT_FAILED).pass(Duration.ofSeconds(1)).tick();
        mHarness.failed(1, AttemptFailure.CONNECT_FAILED).pass(Duration.ofSeconds(1)).tick();
        assertThat(mHarness.actions()).containsExactly("claim r", "call r#1 a", "call r#2 b");
        mHarness.failed(2, AttemptFailure.FAULTED);
        assertThat(mHarness.actions()).containsExactly("refuse r ENDPOINT_LOST MAY_HAVE_RUN");
    }

    /** Place 6. The service works for long without output; a second call would run concurrently. */
    @Test
    void silentServiceIsNotCalledAgain() {
        mHarness.call(false).claim(ClaimOutcome.GRANTED).pass(Duration.ofSeconds(59)).tick();
        assertThat(mHarness.actions()).containsExactly("claim r", "call r#1 a");
        mHarness.pass(Duration.ofSeconds(1)).tick();
        assertThat(mHarness.actions())
                .containsExactly("cancel r#1 a ", "refuse r DEADLINE_PASSED MAY_HAVE_RUN");
    }

    /**
     * Place 7. The engine leaves and the move of the stream fails, perhaps after the import.
     * Continuing from the text would be a second run, so the request stays with the old engine.
     */
    @Test
    void failedMoveIsNotReplacedByAnotherRun() {
        mHarness.chat(false).claim(ClaimOutcome.GRANTED).opened(1, "s1").token(1, 0, "x ");
        mHarness.coordinator()
                .onEndpointLeaving(
                        new EndpointId("a"), mHarness.now().plusSeconds(5), mHarness.now());
        mHarness.failed(2, AttemptFailure.CUT_BEFORE_ANSWER).pass(Duration.ofSeconds(6)).tick();
        assertThat(mHarness.actions())
                .containsExactly(
                        "claim r",
                        "generate r#1 a  0",
                        "deliver r 0 x ",
                        "move r#2 a s1 b",
                        "cancel r#2 b ");
    }

    /**
     * Place 8. A caller returns to another daemon, and the engine has lost its stream. Starting
     * over would be a second run.
     */
    @Test
    void returningCallerStartsNoSecondRun() {
        mHarness.returned(false, 0, "").failed(2, AttemptFailure.STREAM_UNKNOWN);
        assertThat(mHarness.actions())
                .containsExactly("resume r#2 a s1 0", "refuse r ENDPOINT_LOST MAY_HAVE_RUN");
    }

    /**
     * Place 9. Another daemon holds the claim, or its outcome is unknown; a dispatch could run
     * twice.
     */
    @Test
    void requestWithoutGrantIsNotDispatched() {
        mHarness.call(false).claim(ClaimOutcome.HELD_ELSEWHERE);
        mHarness.call(false).claim(ClaimOutcome.UNAVAILABLE);
        assertThat(mHarness.actions())
                .containsExactly(
                        "claim r",
                        "refuse r ALREADY_CLAIMED MAY_HAVE_RUN",
                        "claim r",
                        "refuse r CLAIM_UNAVAILABLE NOT_RUN PT1S");
    }
}
