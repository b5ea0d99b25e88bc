package org.whinhead.api.verdict;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class VerdictTest {

    @Test
    void nonIdempotentRequestIsRetriedOnlyIfItDidNotRun() {
        assertThat(Verdict.NOT_RUN.allowsAnotherAttempt(false)).isTrue();
        assertThat(Verdict.MAY_HAVE_RUN.allowsAnotherAttempt(false)).isFalse();
        assertThat(Verdict.RAN.allowsAnotherAttempt(false)).isFalse();
    }

    @Test
    void idempotentRequestIsRetriedUnlessItsResponseIsKnown() {
        assertThat(Verdict.NOT_RUN.allowsAnotherAttempt(true)).isTrue();
        assertThat(Verdict.MAY_HAVE_RUN.allowsAnotherAttempt(true)).isTrue();
        assertThat(Verdict.RAN.allowsAnotherAttempt(true)).isFalse();
    }

    // Guards against a claim that is recorded twice. The first attempt is cut off before its
    // response and may have run; the second is refused. If the verdict of the last attempt replaces
    // that of the request, the caller receives "not run" and sends the request again.
    @Test
    void combinedVerdictKeepsEarlierAttemptThatMayHaveRun() {
        assertThat(Verdict.MAY_HAVE_RUN.combineWith(Verdict.NOT_RUN))
                .isEqualTo(Verdict.MAY_HAVE_RUN);
        assertThat(Verdict.NOT_RUN.combineWith(Verdict.MAY_HAVE_RUN))
                .isEqualTo(Verdict.MAY_HAVE_RUN);
        assertThat(Verdict.NOT_RUN.combineWith(Verdict.NOT_RUN)).isEqualTo(Verdict.NOT_RUN);
        assertThat(Verdict.MAY_HAVE_RUN.combineWith(Verdict.RAN)).isEqualTo(Verdict.RAN);
    }
}
