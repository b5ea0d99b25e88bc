package org.whinhead.standins.load.caller;

import static org.assertj.core.api.Assertions.assertThat;
import static org.whinhead.standins.load.caller.OneCall.HALF;
import static org.whinhead.standins.load.caller.OneCall.OVERLOADED;
import static org.whinhead.standins.load.caller.OneCall.REFUSED_FOR_GOOD;
import static org.whinhead.standins.load.caller.OneCall.REST;
import static org.whinhead.standins.load.caller.OneCall.call;
import static org.whinhead.standins.load.caller.OneCall.request;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.whinhead.standins.answer.ExpectedAnswer;
import org.whinhead.standins.load.FakeDaemon;
import org.whinhead.standins.load.mix.CallStyle;
import org.whinhead.standins.load.result.Outcome;
import org.whinhead.standins.load.result.RequestResult;

/** What callers do when a daemon is lost, and what they make of it in the end. */
final class LostDaemonTest {

    private static final FakeDaemon.Script CUT_HALFWAY =
            call -> call.respond("X-Whinhead-Ticket", "first").tokens(0, HALF).cut();

    /**
     * A clerk reads a summary as it is written; its daemon dies after half of it. The caller takes
     * another address and shows the ticket; it must get the other half, and no token twice.
     */
    @Test
    void aCutStreamGoesOnAtAnotherAddress() throws Exception {
        try (FakeDaemon first = new FakeDaemon(CUT_HALFWAY, REST);
                FakeDaemon second = first.another()) {
            final RequestResult result = call(first, CallStyle.STREAMED);
            assertThat(result.outcome()).isEqualTo(Outcome.COMPLETED);
            assertThat(result.resumes()).isEqualTo(1);
            final FakeDaemon.Call before = first.calls().get(0);
            final FakeDaemon.Call after = first.calls().get(1);
            assertThat(List.of(before.daemon(), after.daemon()))
                    .containsExactlyInAnyOrder(first.uri(), second.uri());
            assertThat(after.body().path("delivered_text").asText())
                    .isEqualTo(String.join("", ExpectedAnswer.tokens(before.prompt(), HALF)));
            assertThat(withoutDelivered(after.body())).isEqualTo(before.body());
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
    void theNewestTicketIsShownAfterDaemonStops() throws Exception {
        final FakeDaemon.Script moved =
                call ->
                        call.respond("X-Whinhead-Ticket", "first")
                                .tokens(0, HALF)
                                .write(": ticket second\n\n")
                                .error("stopping", "may-have-run");
        try (FakeDaemon daemon = new FakeDaemon(moved, REST)) {
            assertThat(call(daemon, CallStyle.STREAMED).outcome()).isEqualTo(Outcome.COMPLETED);
            assertThat(daemon.calls().get(1).header("X-Whinhead-Ticket")).isEqualTo("second");
        }
    }

    /**
     * A filing's connection breaks before the answer. The caller asks again with the same key and
     * hears that it was claimed: it may have been filed, so nothing new is sent.
     */
    @Test
    void aCutFilingIsAskedForWithTheSameKeyAndNeverSentAnew() throws Exception {
        final FakeDaemon.Script claimed =
                call -> call.refuse(409, "may-have-run", "already-claimed");
        try (FakeDaemon daemon = new FakeDaemon(FakeDaemon.Call::cut, claimed)) {
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
    void notRunAfterCutStaysUncertain() throws Exception {
        try (FakeDaemon daemon = new FakeDaemon(FakeDaemon.Call::cut, REFUSED_FOR_GOOD)) {
            assertThat(call(daemon, CallStyle.PLAIN_ONCE).outcome())
                    .isEqualTo(Outcome.FAILED_MAY_HAVE_RUN);
        }
    }

    /**
     * A summary that could be made again fails half way, is cut and refused until the clerk's
     * cut-off, or never ends: it was accepted, so it is lost.
     */
    @Test
    void anAcceptedAnswerThatNeverEndsIsLost() throws Exception {
        final FakeDaemon.Script failed =
                call -> call.tokens(0, HALF).error("endpoint-lost", "may-have-run");
        try (FakeDaemon daemon = new FakeDaemon(failed)) {
            assertThat(call(daemon, CallStyle.STREAMED).outcome()).isEqualTo(Outcome.LOST);
        }
        try (FakeDaemon daemon = new FakeDaemon(CUT_HALFWAY, REFUSED_FOR_GOOD)) {
            assertThat(call(daemon, CallStyle.STREAMED).outcome()).isEqualTo(Outcome.LOST);
        }
    }

    /**
     * The clerk's cut-off passes while a daemon has the request. If its refusal is on its way, the
     * request counts as refused; if nothing but broken connections come, it is lost.
     */
    @Test
    void theDeadlineDecidesByTheLastWord() throws Exception {
        final CountDownLatch late = new CountDownLatch(1);
        final FakeDaemon.Script refusedLate =
                call -> {
                    awaitQuietly(late);
                    OVERLOADED.answer(call);
                };
        assertThat(callPastDeadline(refusedLate, late).outcome())
                .isEqualTo(Outcome.REFUSED_NOT_RUN);
        assertThat(callPastDeadline(FakeDaemon.Call::cut, late).outcome()).isEqualTo(Outcome.LOST);
    }

    private static RequestResult callPastDeadline(
            final FakeDaemon.Script script, final CountDownLatch late) throws Exception {
        final CountDownLatch arrived = new CountDownLatch(1);
        final FakeDaemon.Script watched =
                call -> {
                    arrived.countDown();
                    script.answer(call);
                };
        final ManualTimers timers = new ManualTimers();
        try (FakeDaemon daemon = new FakeDaemon(watched)) {
            final Duration patience = Duration.ofHours(1);
            final CallerConfig config =
                    CallerConfig.of(List.of(daemon.uri())).withSilence(patience, patience);
            try (Callers callers =
                    new Callers(config, new OneCall.LoadNothing(), timers, 1, timers)) {
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
    void aSilentStreamGoesOnElsewhere() throws Exception {
        final CountDownLatch paused = new CountDownLatch(1);
        final FakeDaemon.Script silent =
                call -> {
                    call.respond("X-Whinhead-Ticket", "first").tokens(0, HALF);
                    awaitQuietly(paused);
                };
        try (FakeDaemon first = new FakeDaemon(silent, REST);
                FakeDaemon second = first.another()) {
            final CallerConfig config =
                    CallerConfig.of(List.of(first.uri()))
                            .withSilence(Duration.ofSeconds(20), Duration.ofMillis(200));
            final RequestResult result = call(config, CallStyle.STREAMED);
            paused.countDown();
            assertThat(result.outcome()).isEqualTo(Outcome.COMPLETED);
            assertThat(first.calls())
                    .extracting(FakeDaemon.Call::daemon)
                    .containsExactlyInAnyOrder(first.uri(), second.uri());
        }
    }

    /** Nobody listens at the only address: nothing was sent, so nothing can have run. */
    @Test
    void anAddressWithoutDaemonIsUnreached() throws Exception {
        final FakeDaemon gone = new FakeDaemon(REST);
        final CallerConfig config =
                CallerConfig.of(List.of(gone.uri())).withDeadline(Duration.ofMillis(100));
        gone.close();
        assertThat(call(config, CallStyle.PLAIN_ONCE).outcome()).isEqualTo(Outcome.UNREACHED);
    }

    private static JsonNode withoutDelivered(final JsonNode body) {
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
