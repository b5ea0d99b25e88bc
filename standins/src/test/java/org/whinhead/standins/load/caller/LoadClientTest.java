package org.whinhead.standins.load.caller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.whinhead.standins.load.caller.LoadClientFixture.HALF_TOKEN_COUNT;
import static org.whinhead.standins.load.caller.LoadClientFixture.OVERLOADED;
import static org.whinhead.standins.load.caller.LoadClientFixture.OVERLOADED_WITHOUT_RETRY;
import static org.whinhead.standins.load.caller.LoadClientFixture.REMAINING_TOKENS;
import static org.whinhead.standins.load.caller.LoadClientFixture.TOKEN_COUNT;
import static org.whinhead.standins.load.caller.LoadClientFixture.call;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.whinhead.standins.StandInContext;
import org.whinhead.standins.engine.EngineConfig;
import org.whinhead.standins.engine.EngineStandIn;
import org.whinhead.standins.load.ScriptedDaemon;
import org.whinhead.standins.load.mix.CallStyle;
import org.whinhead.standins.load.result.AnswerFault;
import org.whinhead.standins.load.result.RequestOutcome;
import org.whinhead.standins.load.result.RequestResult;
import org.whinhead.standins.service.ServiceConfig;
import org.whinhead.standins.service.ServiceStandIn;

/** Verification of answers and retries of refused requests by {@link LoadClient}. */
final class LoadClientTest {

    private static final EngineConfig ENGINE =
            EngineConfig.builder("engine").models(Set.of("service/path")).speedUp(20).build();

    @Test
    void verifiesStreamedAndWholeAnswers() throws Exception {
        try (ScriptedDaemon daemon =
                new ScriptedDaemon(REMAINING_TOKENS, ScriptedDaemon.ReceivedRequest::answerWhole)) {
            final RequestResult streamed = call(daemon, CallStyle.STREAMED);
            final RequestResult whole = call(daemon, CallStyle.WHOLE);
            assertThat(streamed.outcome()).isEqualTo(RequestOutcome.COMPLETED);
            assertThat(streamed.tokens()).isEqualTo(TOKEN_COUNT);
            assertThat(streamed.timeToFirstToken()).isPresent();
            assertThat(whole.outcome()).isEqualTo(RequestOutcome.COMPLETED);
            assertThat(daemon.calls().get(0).header("Authorization")).isEqualTo("Bearer key");
        }
    }

    /**
     * A stream repeats a token, omits one, contains one of another answer, ends early or is too
     * long, or reports "not run" after tokens. Each must be reported as its own fault.
     */
    @Test
    void reportsTheFaultOfEachWrongAnswer() throws Exception {
        assertThat(
                        faultOf(
                                call ->
                                        call.sendTokens(0, HALF_TOKEN_COUNT)
                                                .sendTokens(HALF_TOKEN_COUNT - 1, TOKEN_COUNT)
                                                .endStream()))
                .contains(AnswerFault.DOUBLED);
        assertThat(
                        faultOf(
                                call ->
                                        call.sendTokens(0, HALF_TOKEN_COUNT)
                                                .sendTokens(HALF_TOKEN_COUNT + 1, TOKEN_COUNT)
                                                .endStream()))
                .contains(AnswerFault.MISSING);
        assertThat(
                        faultOf(
                                call ->
                                        call.sendTokens(0, HALF_TOKEN_COUNT)
                                                .sendToken(HALF_TOKEN_COUNT, "other ")
                                                .endStream()))
                .contains(AnswerFault.FOREIGN);
        assertThat(faultOf(call -> call.sendTokens(0, HALF_TOKEN_COUNT).endStream()))
                .contains(AnswerFault.MISSING);
        assertThat(
                        faultOf(
                                call ->
                                        call.sendTokens(0, TOKEN_COUNT)
                                                .sendToken(TOKEN_COUNT, "more ")
                                                .endStream()))
                .contains(AnswerFault.FOREIGN);
        assertThat(
                        faultOf(
                                call ->
                                        call.sendTokens(0, HALF_TOKEN_COUNT)
                                                .sendError("overloaded", "not-run")))
                .contains(AnswerFault.FALSE_VERDICT);
    }

    /**
     * An overloaded daemon refuses with "not run" and a retry pause; the caller must retry after
     * it.
     */
    @Test
    void retriesRefusedRequestAfterRequestedPause() throws Exception {
        try (ScriptedDaemon daemon =
                new ScriptedDaemon(
                        OVERLOADED, OVERLOADED, ScriptedDaemon.ReceivedRequest::answerWhole)) {
            final RequestResult result = call(daemon, CallStyle.WHOLE);
            assertThat(result.outcome()).isEqualTo(RequestOutcome.COMPLETED);
            assertThat(result.attempts()).isEqualTo(3);
        }
        try (ScriptedDaemon daemon = new ScriptedDaemon(OVERLOADED, OVERLOADED_WITHOUT_RETRY)) {
            final RequestResult result = call(daemon, CallStyle.WHOLE);
            assertThat(result.outcome()).isEqualTo(RequestOutcome.REFUSED_NOT_RUN);
            assertThat(result.attempts()).isEqualTo(2);
            assertThat(result.errorCode()).isEqualTo("overloaded");
            assertThat(result.accepted()).isFalse();
        }
    }

    /**
     * The load program was delayed and sent a request late. Latency from the time of sending would
     * hide the delay (coordinated omission).
     */
    @Test
    void measuresLatencyFromIntendedStart() throws Exception {
        final Duration delay = Duration.ofSeconds(5);
        try (ScriptedDaemon daemon = new ScriptedDaemon(REMAINING_TOKENS)) {
            final CallerConfig config = CallerConfig.of(List.of(daemon.uri()));
            final long due = System.nanoTime() - delay.toNanos();
            final RequestResult result = call(config, CallStyle.STREAMED, due);
            assertThat(result.latency()).isGreaterThanOrEqualTo(delay);
            assertThat(result.timeToFirstToken().orElseThrow()).isGreaterThanOrEqualTo(delay);
        }
    }

    /**
     * A stopping daemon returns a ticket with its refusal, which the retry must carry. The answer
     * of a plain service shows that the request ran twice or that it belongs to another caller.
     */
    @Test
    void sendsTicketOfRefusalAndVerifiesPlainAnswers() throws Exception {
        final ScriptedDaemon.Script refusedWithTicket =
                call ->
                        call.setHeader("X-Whinhead-Ticket", "back")
                                .refuse(503, "may-have-run", "stopping");
        try (ScriptedDaemon daemon =
                new ScriptedDaemon(
                        refusedWithTicket, ScriptedDaemon.ReceivedRequest::answerWhole)) {
            assertThat(call(daemon, CallStyle.WHOLE).outcome()).isEqualTo(RequestOutcome.COMPLETED);
            assertThat(daemon.calls().get(1).header("X-Whinhead-Ticket")).isEqualTo("back");
        }
        final ScriptedDaemon.Script executedTwice = call -> call.write("{\"execution\":2}");
        final ScriptedDaemon.Script foreign = call -> call.write("{\"idempotencyKey\":\"other\"}");
        try (ScriptedDaemon daemon = new ScriptedDaemon(executedTwice, foreign)) {
            assertThat(call(daemon, CallStyle.PLAIN_ONCE).fault()).contains(AnswerFault.DOUBLED);
            assertThat(call(daemon, CallStyle.PLAIN_ONCE).fault()).contains(AnswerFault.FOREIGN);
        }
    }

    /** The answers of the stand-ins, if passed on unchanged, must be verified as correct. */
    @Test
    void acceptsAnswersOfStandIns() throws Exception {
        try (StandInContext context = StandInContext.start();
                EngineStandIn engine = EngineStandIn.start(ENGINE, context);
                ServiceStandIn service =
                        ServiceStandIn.start(ServiceConfig.of("s", Duration.ofMillis(1)), context);
                ScriptedDaemon toEngine = ScriptedDaemon.withAddress(engine.uri());
                ScriptedDaemon toService = ScriptedDaemon.withAddress(service.uri())) {
            for (final CallStyle style : List.of(CallStyle.STREAMED, CallStyle.WHOLE)) {
                assertThat(call(toEngine, style).outcome()).isEqualTo(RequestOutcome.COMPLETED);
            }
            assertThat(call(toService, CallStyle.PLAIN_ONCE).outcome())
                    .isEqualTo(RequestOutcome.COMPLETED);
            assertThat(context.workCounter().executions("request-1")).isEqualTo(1);
            assertThat(call(toService, CallStyle.PLAIN_ONCE).fault()).contains(AnswerFault.DOUBLED);
        }
    }

    private static Optional<AnswerFault> faultOf(final ScriptedDaemon.Script script)
            throws Exception {
        try (ScriptedDaemon daemon = new ScriptedDaemon(script)) {
            final RequestResult result = call(daemon, CallStyle.STREAMED);
            assertThat(result.outcome()).isEqualTo(RequestOutcome.WRONG);
            return result.fault();
        }
    }
}
