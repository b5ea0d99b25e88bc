package org.whinhead.api.verdict;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class VerdictTest {

    @Test
    void nonIdempotentRequestIsOnlyTriedAgainWhenItCertainlyDidNotRun() {
        assertThat(Verdict.NOT_RUN.allowsAnotherAttempt(false)).isTrue();
        assertThat(Verdict.MAY_HAVE_RUN.allowsAnotherAttempt(false)).isFalse();
        assertThat(Verdict.RAN.allowsAnotherAttempt(false)).isFalse();
    }

    @Test
    void idempotentRequestIsTriedAgainUnlessItsAnswerIsKnown() {
        assertThat(Verdict.NOT_RUN.allowsAnotherAttempt(true)).isTrue();
        assertThat(Verdict.MAY_HAVE_RUN.allowsAnotherAttempt(true)).isTrue();
        assertThat(Verdict.RAN.allowsAnotherAttempt(true)).isFalse();
    }

    // A caller is told "not run" after two attempts, and files again; the claim stands twice.
    // First attempt: cut before its answer, so it may have run. Second: refused, not run.
    // Cause: the last attempt's verdict was taken for the whole request's.
    @Test
    void laterCertaintyDoesNotHideAnEarlierAttemptThatMayHaveRun() {
        assertThat(Verdict.MAY_HAVE_RUN.combineWith(Verdict.NOT_RUN))
                .isEqualTo(Verdict.MAY_HAVE_RUN);
        assertThat(Verdict.NOT_RUN.combineWith(Verdict.MAY_HAVE_RUN))
                .isEqualTo(Verdict.MAY_HAVE_RUN);
        assertThat(Verdict.NOT_RUN.combineWith(Verdict.NOT_RUN)).isEqualTo(Verdict.NOT_RUN);
        assertThat(Verdict.MAY_HAVE_RUN.combineWith(Verdict.RAN)).isEqualTo(Verdict.RAN);
    }
}
