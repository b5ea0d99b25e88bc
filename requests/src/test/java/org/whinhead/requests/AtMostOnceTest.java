package org.whinhead.requests;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.whinhead.api.model.EndpointId;

/** Each place where a non-idempotent request could run twice; the numbers are those of the note. */
class AtMostOnceTest {

    private final CoordinatorHarness mWorld = new CoordinatorHarness("ab");

    /**
     * Place 1. The claim is granted, but the daemon was paused meanwhile and wakes after the
     * deadline. The caller was told to look elsewhere; a dispatch now would run behind its back.
     */
    @Test
    void grantAfterTheDeadlineIsNotDispatched() {
        mWorld.call(false).pass(Duration.ofSeconds(60)).claim(ClaimOutcome.GRANTED);
        assertThat(mWorld.actions())
                .containsExactly("claim r", "unclaim r", "refuse r DEADLINE_PASSED NOT_RUN PT1S");
    }

    /**
     * Place 2. The caller hangs up while the claim is under way, and files the claim by hand. The
     * grant comes then; a dispatch would file it a second time.
     */
    @Test
    void grantAfterTheCallerLeftIsNotDispatched() {
        mWorld.call(false).coordinator().onCallerDisconnected(CoordinatorHarness.ID, mWorld.now());
        mWorld.claim(ClaimOutcome.GRANTED);
        assertThat(mWorld.actions()).containsExactly("claim r");
    }

    /** Place 3. A grant is reported twice; the fee would be booked twice. */
    @Test
    void repeatedGrantDispatchesOnce() {
        mWorld.call(false).claim(ClaimOutcome.GRANTED).claim(ClaimOutcome.GRANTED);
        assertThat(mWorld.actions()).containsExactly("claim r", "call r#1 a");
    }

    /**
     * Place 4. The service takes the request and its answer is lost. A retry would file it again;
     * the caller is told at once that it may have run, and the claim stays held.
     */
    @Test
    void lostAnswerEndsTheRequest() {
        mWorld.call(false).claim(ClaimOutcome.GRANTED);
        mWorld.failed(1, AttemptFailure.CUT_BEFORE_ANSWER);
        assertThat(mWorld.actions())
                .containsExactly(
                        "claim r",
                        "call r#1 a",
                        "cancel r#1 a ",
                        "refuse r ENDPOINT_LOST MAY_HAVE_RUN");
    }

    /**
     * Place 5. The first service can't be reached, the second one is. The first failure is reported
     * once more, late; taken for the second attempt's it would bring a third dispatch.
     */
    @Test
    void onlyWhatCertainlyDidNotRunIsSentAgain() {
        mWorld.call(false).claim(ClaimOutcome.GRANTED);
        mWorld.failed(1, AttemptFailure.CONNECT_FAILED).pass(Duration.ofSeconds(1)).tick();
        mWorld.failed(1, AttemptFailure.CONNECT_FAILED).pass(Duration.ofSeconds(1)).tick();
        assertThat(mWorld.actions()).containsExactly("claim r", "call r#1 a", "call r#2 b");
        mWorld.failed(2, AttemptFailure.FAULTED);
        assertThat(mWorld.actions()).containsExactly("refuse r ENDPOINT_LOST MAY_HAVE_RUN");
    }

    /** Place 6. The service works silently for long; a second call would run beside the first. */
    @Test
    void silentServiceIsNotCalledAgain() {
        mWorld.call(false).claim(ClaimOutcome.GRANTED).pass(Duration.ofSeconds(59)).tick();
        assertThat(mWorld.actions()).containsExactly("claim r", "call r#1 a");
        mWorld.pass(Duration.ofSeconds(1)).tick();
        assertThat(mWorld.actions())
                .containsExactly("cancel r#1 a ", "refuse r DEADLINE_PASSED MAY_HAVE_RUN");
    }

    /**
     * Place 7. The engine leaves and the move of the stream fails, perhaps after the import. To
     * continue from the text would be a second run: the request stays with the old engine.
     */
    @Test
    void failedMoveIsNotReplacedByAnotherRun() {
        mWorld.chat(false).claim(ClaimOutcome.GRANTED).opened(1, "s1").token(1, 0, "x ");
        mWorld.coordinator()
                .onEndpointLeaving(new EndpointId("a"), mWorld.now().plusSeconds(5), mWorld.now());
        mWorld.failed(2, AttemptFailure.CUT_BEFORE_ANSWER).pass(Duration.ofSeconds(6)).tick();
        assertThat(mWorld.actions())
                .containsExactly(
                        "claim r",
                        "generate r#1 a  0",
                        "deliver r 0 x ",
                        "move r#2 a s1 b",
                        "cancel r#2 b ");
    }

    /**
     * Place 8. A caller comes back to another daemon, and the engine has lost its stream. To start
     * over would be a second run.
     */
    @Test
    void returningCallerStartsNoSecondRun() {
        mWorld.returned(false, 0, "").failed(2, AttemptFailure.STREAM_UNKNOWN);
        assertThat(mWorld.actions())
                .containsExactly("resume r#2 a s1 0", "refuse r ENDPOINT_LOST MAY_HAVE_RUN");
    }

    /** Place 9. Another daemon holds the claim, or nobody can tell: never dispatched. */
    @Test
    void nothingRunsWithoutGrant() {
        mWorld.call(false).claim(ClaimOutcome.HELD_ELSEWHERE);
        mWorld.call(false).claim(ClaimOutcome.UNAVAILABLE);
        assertThat(mWorld.actions())
                .containsExactly(
                        "claim r",
                        "refuse r ALREADY_CLAIMED MAY_HAVE_RUN",
                        "claim r",
                        "refuse r CLAIM_UNAVAILABLE NOT_RUN PT1S");
    }
}
