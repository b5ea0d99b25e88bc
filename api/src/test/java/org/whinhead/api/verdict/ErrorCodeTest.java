package org.whinhead.api.verdict;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

class ErrorCodeTest {

    @ParameterizedTest
    @EnumSource
    void messageOfEveryCodeEndsWithDetail(final ErrorCode code) {
        final String text = Refusal.notRun(code, "field messages[0].role").message();

        assertThat(text).endsWith(": field messages[0].role");
    }

    @ParameterizedTest
    @EnumSource
    void everyCodeHasErrorStatus(final ErrorCode code) {
        assertThat(code.status()).isBetween(400, 599);
    }

    @ParameterizedTest
    @EnumSource
    void exceptionCarriesRefusalAndVerdict(final ErrorCode code) {
        final Refusal refusal = Refusal.notRun(code, "here").withRetryAfter(Duration.ofMillis(250));
        final RequestException exception = new RequestException(refusal);

        assertThat(exception.refusal()).isEqualTo(refusal);
        assertThat(exception.verdict()).isEqualTo(Verdict.NOT_RUN);
    }
}
