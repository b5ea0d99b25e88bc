package org.whinhead.demo;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.whinhead.standins.load.mix.Deployment;
import org.whinhead.standins.load.result.RequestOutcome;

@Timeout(90)
class DemoRunTest {

    /**
     * Guards against cut, repeated or mixed-up answers when a failure domain is reclaimed: its
     * daemons and engines end together, a second after the notice, while they generate answers.
     */
    @ParameterizedTest
    @EnumSource(Deployment.class)
    void nothingIsLostDoubledOrWrongInReclaim(final Deployment deployment) throws Exception {
        final DemoConfig config =
                DemoConfig.of(deployment).toBuilder()
                        .duration(Duration.ofSeconds(4))
                        .notice(Duration.ofSeconds(1))
                        .requestsPerSecond(10)
                        .callerDeadline(Duration.ofSeconds(8))
                        .build();
        final DemoResult result = DemoRun.run(config);
        assertThat(result.load().count(RequestOutcome.COMPLETED)).isPositive();
        assertThat(result.lost()).isZero();
        assertThat(result.doubled()).isZero();
        assertThat(result.wrongAnswers()).isZero();
        assertThat(result.notRunButRan()).isZero();
        assertThat(result.unwitnessed()).isZero();
        assertThat(result.isGuaranteeKept()).isTrue();
    }

    @Test
    void invalidOptionIsReportedByName() throws Exception {
        final ByteArrayOutputStream errors = new ByteArrayOutputStream();
        final int status =
                DemoMain.run(System.out, new PrintStream(errors), "--deployment", "other");
        assertThat(status).isEqualTo(DemoMain.EXIT_USAGE);
        assertThat(errors.toString(StandardCharsets.UTF_8).trim())
                .isEqualTo("--deployment must be inkiko or mezani, but is \"other\"");
    }
}
