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
import org.whinhead.standins.load.result.Outcome;
import org.whinhead.standins.load.result.RequestResult;
import org.whinhead.standins.service.ServiceConfig;
import org.whinhead.standins.service.ServiceStandIn;

/** What callers make of answers and refusals. */
final class LoadClientTest {

    private static final EngineConfig ENGINE =
            EngineConfig.builder("engine").models(Set.of("service/path")).speedUp(20).build();

    @Test
    void verifiesStreamedAndWholeAnswers() throws Exception {
        try (ScriptedDaemon daemon =
                new ScriptedDaemon(REMAINING_TOKENS, ScriptedDaemon.ReceivedRequest::answerWhole)) {
            final RequestResult streamed = call(daemon, CallStyle.STREAMED);
            final RequestResult whole = call(daemon, CallStyle.WHOLE);
            assertThat(streamed.outcome()).isEqualTo(Outcome.COMPLETED);
            assertThat(streamed.tokens()).isEqualTo(TOKEN_COUNT);
            assertThat(streamed.timeToFirstToken()).isPresent();
            assertThat(whole.outcome()).isEqualTo(Outcome.COMPLETED);
            assertThat(daemon.calls().get(0).header("Authorization")).isEqualTo("Bearer key");
        }
    }

    /**
     * A resumed stream repeats the last token, leaves one out, brings one of another answer, ends
     * early, or says "not run" after tokens came: the caller holds a wrong answer each time.
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

    /** A daemon under load refuses with "not run" and a time; the caller comes back then. */
    @Test
    void retriesRefusedRequestAfterRequestedPause() throws Exception {
        try (ScriptedDaemon daemon =
                new ScriptedDaemon(
                        OVERLOADED, OVERLOADED, ScriptedDaemon.ReceivedRequest::answerWhole)) {
            final RequestResult result = call(daemon, CallStyle.WHOLE);
            assertThat(result.outcome()).isEqualTo(Outcome.COMPLETED);
            assertThat(result.attempts()).isEqualTo(3);
        }
        try (ScriptedDaemon daemon = new ScriptedDaemon(OVERLOADED, OVERLOADED_WITHOUT_RETRY)) {
            final RequestResult result = call(daemon, CallStyle.WHOLE);
            assertThat(result.outcome()).isEqualTo(Outcome.REFUSED_NOT_RUN);
            assertThat(result.attempts()).isEqualTo(2);
            assertThat(result.errorCode()).isEqualTo("overloaded");
            assertThat(result.accepted()).isFalse();
        }
    }

    /**
     * The load program itself was held up, so a request left after the time it was due. A caller
     * would have waited all that time; leaving it out would hide it.
     */
    @Test
    void measuresLatencyFromIntendedStart() throws Exception {
        final Duration heldUp = Duration.ofSeconds(5);
        try (ScriptedDaemon daemon = new ScriptedDaemon(REMAINING_TOKENS)) {
            final CallerConfig config = CallerConfig.of(List.of(daemon.uri()));
            final long due = System.nanoTime() - heldUp.toNanos();
            final RequestResult result = call(config, CallStyle.STREAMED, due);
            assertThat(result.latency()).isGreaterThanOrEqualTo(heldUp);
            assertThat(result.timeToFirstToken().orElseThrow()).isGreaterThanOrEqualTo(heldUp);
        }
    }

    /**
     * A daemon that stops hands a whole answer's ticket back with its refusal; and a filing's
     * answer tells that it ran twice, or that it is another caller's.
     */
    @Test
    void sendsTicketOfRefusalAndVerifiesPlainAnswers() throws Exception {
        final ScriptedDaemon.Script handedBack =
                call ->
                        call.setHeader("X-Whinhead-Ticket", "back")
                                .refuse(503, "may-have-run", "stopping");
        try (ScriptedDaemon daemon =
                new ScriptedDaemon(handedBack, ScriptedDaemon.ReceivedRequest::answerWhole)) {
            assertThat(call(daemon, CallStyle.WHOLE).outcome()).isEqualTo(Outcome.COMPLETED);
            assertThat(daemon.calls().get(1).header("X-Whinhead-Ticket")).isEqualTo("back");
        }
        final ScriptedDaemon.Script twice = call -> call.write("{\"execution\":2}");
        final ScriptedDaemon.Script foreign = call -> call.write("{\"idempotencyKey\":\"other\"}");
        try (ScriptedDaemon daemon = new ScriptedDaemon(twice, foreign)) {
            assertThat(call(daemon, CallStyle.PLAIN_ONCE).fault()).contains(AnswerFault.DOUBLED);
            assertThat(call(daemon, CallStyle.PLAIN_ONCE).fault()).contains(AnswerFault.FOREIGN);
        }
    }

    /** The stand-ins' own answers, as a daemon passes them on, are what callers take for right. */
    @Test
    void acceptsAnswersOfStandIns() throws Exception {
        try (StandInContext context = StandInContext.start();
                EngineStandIn engine = EngineStandIn.start(ENGINE, context);
                ServiceStandIn service =
                        ServiceStandIn.start(ServiceConfig.of("s", Duration.ofMillis(1)), context);
                ScriptedDaemon toEngine = ScriptedDaemon.withAddress(engine.uri());
                ScriptedDaemon toService = ScriptedDaemon.withAddress(service.uri())) {
            for (final CallStyle style : List.of(CallStyle.STREAMED, CallStyle.WHOLE)) {
                assertThat(call(toEngine, style).outcome()).isEqualTo(Outcome.COMPLETED);
            }
            assertThat(call(toService, CallStyle.PLAIN_ONCE).outcome())
                    .isEqualTo(Outcome.COMPLETED);
            assertThat(context.witness().executions("request-1")).isEqualTo(1);
            assertThat(call(toService, CallStyle.PLAIN_ONCE).fault()).contains(AnswerFault.DOUBLED);
        }
    }

    private static Optional<AnswerFault> faultOf(final ScriptedDaemon.Script script)
            throws Exception {
        try (ScriptedDaemon daemon = new ScriptedDaemon(script)) {
            final RequestResult result = call(daemon, CallStyle.STREAMED);
            assertThat(result.outcome()).isEqualTo(Outcome.WRONG);
            return result.fault();
        }
    }
}
