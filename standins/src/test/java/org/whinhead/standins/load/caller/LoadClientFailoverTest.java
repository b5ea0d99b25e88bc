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
import org.whinhead.standins.load.result.RequestOutcome;
import org.whinhead.standins.load.result.RequestResult;

/** Failover of {@link LoadClient} after the loss of a daemon, and the resulting outcomes. */
final class LoadClientFailoverTest {

    private static final ScriptedDaemon.Script BROKEN_HALFWAY =
            call ->
                    call.setHeader("X-Whinhead-Ticket", "first")
                            .sendTokens(0, HALF_TOKEN_COUNT)
                            .breakConnection();

    /**
     * A daemon dies after half of a streamed answer. The caller must resume at another address with
     * the ticket and receive the other half without repeated tokens.
     */
    @Test
    void resumesBrokenStreamAtAnotherAddress() throws Exception {
        try (ScriptedDaemon first = new ScriptedDaemon(BROKEN_HALFWAY, REMAINING_TOKENS);
                ScriptedDaemon second = first.startPeer()) {
            final RequestResult result = call(first, CallStyle.STREAMED);
            assertThat(result.outcome()).isEqualTo(RequestOutcome.COMPLETED);
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
     * The stream moves to another engine, so a comment carries a new ticket; then the daemon
     * reports that it is stopping. The retry must carry the newer ticket.
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
            assertThat(call(daemon, CallStyle.STREAMED).outcome())
                    .isEqualTo(RequestOutcome.COMPLETED);
            assertThat(daemon.calls().get(1).header("X-Whinhead-Ticket")).isEqualTo("second");
        }
    }

    /**
     * The connection of a non-idempotent request breaks before the answer. The retry with the same
     * key is refused as already claimed: the request may have run, so it must not run again.
     */
    @Test
    void retriesNonIdempotentRequestWithSameKey() throws Exception {
        final ScriptedDaemon.Script claimed =
                call -> call.refuse(409, "may-have-run", "already-claimed");
        try (ScriptedDaemon daemon =
                new ScriptedDaemon(ScriptedDaemon.ReceivedRequest::breakConnection, claimed)) {
            final RequestResult result = call(daemon, CallStyle.PLAIN_ONCE);
            assertThat(result.outcome()).isEqualTo(RequestOutcome.FAILED_MAY_HAVE_RUN);
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
     * The connection of a non-idempotent request breaks, and the retry is refused with "not run",
     * which applies to that attempt only. The request must not be reported as not run.
     */
    @Test
    void reportsMayHaveRunIfRefusedAfterBrokenConnection() throws Exception {
        try (ScriptedDaemon daemon =
                new ScriptedDaemon(
                        ScriptedDaemon.ReceivedRequest::breakConnection,
                        OVERLOADED_WITHOUT_RETRY)) {
            assertThat(call(daemon, CallStyle.PLAIN_ONCE).outcome())
                    .isEqualTo(RequestOutcome.FAILED_MAY_HAVE_RUN);
        }
    }

    /**
     * An accepted idempotent request fails halfway, or breaks halfway and is then refused. It must
     * count as lost.
     */
    @Test
    void reportsAcceptedAnswerWithoutEndAsLost() throws Exception {
        final ScriptedDaemon.Script failed =
                call ->
                        call.sendTokens(0, HALF_TOKEN_COUNT)
                                .sendError("endpoint-lost", "may-have-run");
        try (ScriptedDaemon daemon = new ScriptedDaemon(failed)) {
            assertThat(call(daemon, CallStyle.STREAMED).outcome()).isEqualTo(RequestOutcome.LOST);
        }
        try (ScriptedDaemon daemon = new ScriptedDaemon(BROKEN_HALFWAY, OVERLOADED_WITHOUT_RETRY)) {
            assertThat(call(daemon, CallStyle.STREAMED).outcome()).isEqualTo(RequestOutcome.LOST);
        }
    }

    /**
     * The deadline passes while a daemon has the request. If a refusal arrives within the grace
     * period, the request counts as refused; if the connection breaks, it is lost.
     */
    @Test
    void usesLastVerdictAtDeadline() throws Exception {
        final CountDownLatch deadlinePassed = new CountDownLatch(1);
        final ScriptedDaemon.Script refusedLate =
                call -> {
                    awaitQuietly(deadlinePassed);
                    OVERLOADED.answer(call);
                };
        assertThat(callPastDeadline(refusedLate, deadlinePassed).outcome())
                .isEqualTo(RequestOutcome.REFUSED_NOT_RUN);
        assertThat(
                        callPastDeadline(
                                        ScriptedDaemon.ReceivedRequest::breakConnection,
                                        deadlinePassed)
                                .outcome())
                .isEqualTo(RequestOutcome.LOST);
    }

    private static RequestResult callPastDeadline(
            final ScriptedDaemon.Script script, final CountDownLatch deadlinePassed)
            throws Exception {
        final CountDownLatch arrived = new CountDownLatch(1);
        final ScriptedDaemon.Script signaled =
                call -> {
                    arrived.countDown();
                    script.answer(call);
                };
        final ManualScheduler scheduler = new ManualScheduler();
        try (ScriptedDaemon daemon = new ScriptedDaemon(signaled)) {
            final Duration idleLimit = Duration.ofHours(1);
            final CallerConfig config =
                    CallerConfig.of(List.of(daemon.uri())).withTimeouts(idleLimit, idleLimit);
            try (LoadClient client =
                    new LoadClient(
                            config,
                            new LoadClientFixture.NoOpCallObserver(),
                            scheduler,
                            1,
                            scheduler)) {
                final CompletableFuture<RequestResult> result =
                        client.call(request(CallStyle.PLAIN), scheduler.getAsLong());
                arrived.await(1, TimeUnit.MINUTES);
                scheduler.advance(config.deadline());
                deadlinePassed.countDown();
                return result.get(1, TimeUnit.MINUTES);
            }
        }
    }

    /**
     * The VM of a daemon is paused during a stream, so the connection stays open without data. The
     * caller must resume at another daemon before its deadline.
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
            assertThat(result.outcome()).isEqualTo(RequestOutcome.COMPLETED);
            assertThat(first.calls())
                    .extracting(ScriptedDaemon.ReceivedRequest::daemon)
                    .containsExactlyInAnyOrder(first.uri(), second.uri());
        }
    }

    /** No daemon listens at the only address, so nothing was sent and nothing can have run. */
    @Test
    void reportsUnreachableAddress() throws Exception {
        final ScriptedDaemon closed = new ScriptedDaemon(REMAINING_TOKENS);
        final CallerConfig config =
                CallerConfig.of(List.of(closed.uri())).withDeadline(Duration.ofMillis(100));
        closed.close();
        assertThat(call(config, CallStyle.PLAIN_ONCE).outcome())
                .isEqualTo(RequestOutcome.UNREACHED);
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
