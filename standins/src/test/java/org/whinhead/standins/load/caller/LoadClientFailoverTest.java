package org.whinhead.standins.load.caller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.whinhead.standins.load.caller.LoadClientFixture.HALF_TOKEN_COUNT;
import static org.whinhead.standins.load.caller.LoadClientFixture.OVERLOADED;
import static org.whinhead.standins.load.caller.LoadClientFixture.OVERLOADED_WITHOUT_RETRY;
import static org.whinhead.standins.load.caller.LoadClientFixture.REMAINING_TOKENS;
import static org.whinhead.standins.load.caller.LoadClientFixture.call;
import static org.whinhead.standins.load.caller.LoadClientFixture.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.whinhead.standins.answer.ExpectedAnswer;
import org.whinhead.standins.load.ScriptedDaemon;
import org.whinhead.standins.load.mix.CallStyle;
import org.whinhead.standins.load.result.Outcome;
import org.whinhead.standins.load.result.RequestResult;

/** What callers do when a daemon is lost, and what they make of it in the end. */
final class LoadClientFailoverTest {

    private static final ScriptedDaemon.Script BROKEN_HALFWAY =
            call ->
                    call.setHeader("X-Whinhead-Ticket", "first")
                            .sendTokens(0, HALF_TOKEN_COUNT)
                            .breakConnection();

    /**
     * A clerk reads a summary as it is written; its daemon dies after half of it. The caller takes
     * another address and shows the ticket; it must get the other half, and no token twice.
     */
    @Test
    void resumesBrokenStreamAtAnotherAddress() throws Exception {
        try (ScriptedDaemon first = new ScriptedDaemon(BROKEN_HALFWAY, REMAINING_TOKENS);
                ScriptedDaemon second = first.startPeer()) {
            final RequestResult result = call(first, CallStyle.STREAMED);
            assertThat(result.outcome()).isEqualTo(Outcome.COMPLETED);
            assertThat(result.resumes()).isEqualTo(1);
            final ScriptedDaemon.ReceivedRequest before = first.calls().get(0);
            final ScriptedDaemon.ReceivedRequest after = first.calls().get(1);
            assertThat(List.of(before.daemon(), after.daemon()))
                    .containsExactlyInAnyOrder(first.uri(), second.uri());
            assertThat(after.body().path("delivered_text").asText())
                    .isEqualTo(
                            String.join(
                                    "", ExpectedAnswer.tokens(before.prompt(), HALF_TOKEN_COUNT)));
            assertThat(withoutDeliveredText(after.body())).isEqualTo(before.body());
            assertThat(after.header("X-Request-Id")).isEqualTo("request-1");
            assertThat(after.header("X-Whinhead-Ticket")).isEqualTo("first");
            assertThat(after.header("Last-Event-ID")).isEqualTo("3");
        }
    }

    /**
     * The stream moves to another engine, so a new ticket comes in a comment; then the daemon says
     * that it stops. The caller must come back with the newer ticket.
     */
    @Test
    void sendsNewestTicketAfterDaemonStops() throws Exception {
        final ScriptedDaemon.Script moved =
                call ->
                        call.setHeader("X-Whinhead-Ticket", "first")
                                .sendTokens(0, HALF_TOKEN_COUNT)
                                .write(": ticket second\n\n")
                                .sendError("stopping", "may-have-run");
        try (ScriptedDaemon daemon = new ScriptedDaemon(moved, REMAINING_TOKENS)) {
            assertThat(call(daemon, CallStyle.STREAMED).outcome()).isEqualTo(Outcome.COMPLETED);
            assertThat(daemon.calls().get(1).header("X-Whinhead-Ticket")).isEqualTo("second");
        }
    }

    /**
     * A filing's connection breaks before the answer. The caller asks again with the same key and
     * hears that it was claimed: it may have been filed, so nothing new is sent.
     */
    @Test
    void retriesNonIdempotentRequestWithSameKey() throws Exception {
        final ScriptedDaemon.Script claimed =
                call -> call.refuse(409, "may-have-run", "already-claimed");
        try (ScriptedDaemon daemon =
                new ScriptedDaemon(ScriptedDaemon.ReceivedRequest::breakConnection, claimed)) {
            final RequestResult result = call(daemon, CallStyle.PLAIN_ONCE);
            assertThat(result.outcome()).isEqualTo(Outcome.FAILED_MAY_HAVE_RUN);
            assertThat(result.idempotencyKey()).contains("request-1");
            assertThat(daemon.calls()).hasSize(2);
            assertThat(daemon.calls())
                    .allSatisfy(
                            call -> {
                                assertThat(call.path()).isEqualTo("/v1/services/service/path");
                                assertThat(call.header("Idempotency-Key")).isEqualTo("request-1");
                                assertThat(call.header("X-Idempotent")).isEqualTo("false");
                            });
        }
    }

    /**
     * A filing is cut, and the next daemons refuse it with "not run", which is true of their own
     * tries only. The caller must not believe that it was never filed.
     */
    @Test
    void reportsMayHaveRunIfRefusedAfterBrokenConnection() throws Exception {
        try (ScriptedDaemon daemon =
                new ScriptedDaemon(
                        ScriptedDaemon.ReceivedRequest::breakConnection,
                        OVERLOADED_WITHOUT_RETRY)) {
            assertThat(call(daemon, CallStyle.PLAIN_ONCE).outcome())
                    .isEqualTo(Outcome.FAILED_MAY_HAVE_RUN);
        }
    }

    /**
     * A summary that could be made again fails half way, is cut and refused until the clerk's
     * cut-off, or never ends: it was accepted, so it is lost.
     */
    @Test
    void reportsAcceptedAnswerWithoutEndAsLost() throws Exception {
        final ScriptedDaemon.Script failed =
                call ->
                        call.sendTokens(0, HALF_TOKEN_COUNT)
                                .sendError("endpoint-lost", "may-have-run");
        try (ScriptedDaemon daemon = new ScriptedDaemon(failed)) {
            assertThat(call(daemon, CallStyle.STREAMED).outcome()).isEqualTo(Outcome.LOST);
        }
        try (ScriptedDaemon daemon = new ScriptedDaemon(BROKEN_HALFWAY, OVERLOADED_WITHOUT_RETRY)) {
            assertThat(call(daemon, CallStyle.STREAMED).outcome()).isEqualTo(Outcome.LOST);
        }
    }

    /**
     * The clerk's cut-off passes while a daemon has the request. If its refusal is on its way, the
     * request counts as refused; if nothing but broken connections come, it is lost.
     */
    @Test
    void usesLastVerdictAtDeadline() throws Exception {
        final CountDownLatch late = new CountDownLatch(1);
        final ScriptedDaemon.Script refusedLate =
                call -> {
                    awaitQuietly(late);
                    OVERLOADED.answer(call);
                };
        assertThat(callPastDeadline(refusedLate, late).outcome())
                .isEqualTo(Outcome.REFUSED_NOT_RUN);
        assertThat(
                        callPastDeadline(ScriptedDaemon.ReceivedRequest::breakConnection, late)
                                .outcome())
                .isEqualTo(Outcome.LOST);
    }

    private static RequestResult callPastDeadline(
            final ScriptedDaemon.Script script, final CountDownLatch late) throws Exception {
        final CountDownLatch arrived = new CountDownLatch(1);
        final ScriptedDaemon.Script watched =
                call -> {
                    arrived.countDown();
                    script.answer(call);
                };
        final ManualScheduler timers = new ManualScheduler();
        try (ScriptedDaemon daemon = new ScriptedDaemon(watched)) {
            final Duration patience = Duration.ofHours(1);
            final CallerConfig config =
                    CallerConfig.of(List.of(daemon.uri())).withTimeouts(patience, patience);
            try (LoadClient callers =
                    new LoadClient(
                            config, new LoadClientFixture.NoOpCallObserver(), timers, 1, timers)) {
                final CompletableFuture<RequestResult> result =
                        callers.call(request(CallStyle.PLAIN), timers.getAsLong());
                arrived.await(1, TimeUnit.MINUTES);
                timers.advance(config.deadline());
                late.countDown();
                return result.get(1, TimeUnit.MINUTES);
            }
        }
    }

    /**
     * A daemon's VM is paused in the middle of a stream: the connection stays open and nothing
     * comes. The caller must go to another daemon before its deadline.
     */
    @Test
    void resumesIdleStreamAtAnotherAddress() throws Exception {
        final CountDownLatch paused = new CountDownLatch(1);
        final ScriptedDaemon.Script silent =
                call -> {
                    call.setHeader("X-Whinhead-Ticket", "first").sendTokens(0, HALF_TOKEN_COUNT);
                    awaitQuietly(paused);
                };
        try (ScriptedDaemon first = new ScriptedDaemon(silent, REMAINING_TOKENS);
                ScriptedDaemon second = first.startPeer()) {
            final CallerConfig config =
                    CallerConfig.of(List.of(first.uri()))
                            .withTimeouts(Duration.ofSeconds(20), Duration.ofMillis(200));
            final RequestResult result = call(config, CallStyle.STREAMED);
            paused.countDown();
            assertThat(result.outcome()).isEqualTo(Outcome.COMPLETED);
            assertThat(first.calls())
                    .extracting(ScriptedDaemon.ReceivedRequest::daemon)
                    .containsExactlyInAnyOrder(first.uri(), second.uri());
        }
    }

    /** Nobody listens at the only address: nothing was sent, so nothing can have run. */
    @Test
    void reportsUnreachableAddress() throws Exception {
        final ScriptedDaemon gone = new ScriptedDaemon(REMAINING_TOKENS);
        final CallerConfig config =
                CallerConfig.of(List.of(gone.uri())).withDeadline(Duration.ofMillis(100));
        gone.close();
        assertThat(call(config, CallStyle.PLAIN_ONCE).outcome()).isEqualTo(Outcome.UNREACHED);
    }

    private static JsonNode withoutDeliveredText(final JsonNode body) {
        return body.<ObjectNode>deepCopy().without("delivered_text");
    }

    private static void awaitQuietly(final CountDownLatch latch) {
        try {
            latch.await(1, TimeUnit.MINUTES);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
