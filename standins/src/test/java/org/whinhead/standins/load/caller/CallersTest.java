package org.whinhead.standins.load.caller;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.URI;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.whinhead.api.request.RequestId;
import org.whinhead.standins.load.FakeDaemon;
import org.whinhead.standins.load.mix.CallStyle;
import org.whinhead.standins.load.mix.LoadCustomer;
import org.whinhead.standins.load.mix.PlannedRequest;
import org.whinhead.standins.load.mix.RequestKind;
import org.whinhead.standins.load.result.Outcome;
import org.whinhead.standins.load.result.RequestResult;

/** The caller's protocol against daemons whose answers are written in the test. */
final class CallersTest {

    private static final int TOKENS = 8;
    private static final int HALF = TOKENS / 2;

    private static final FakeDaemon.Script REST = call -> call.tokens(from(call), TOKENS).done();
    private static final FakeDaemon.Script CUT_HALFWAY =
            call -> call.respond("X-Whinhead-Ticket", "first").tokens(0, HALF).cut();
    private static final FakeDaemon.Script SILENT_CUT = FakeDaemon.Call::cut;

    @Test
    void streamedAndWholeAnswersAreCompared() throws Exception {
        try (FakeDaemon daemon = new FakeDaemon(REST, FakeDaemon.Call::whole)) {
            final RequestResult streamed = call(daemon, CallStyle.STREAMED);
            final RequestResult whole = call(daemon, CallStyle.WHOLE);
            assertThat(streamed.outcome()).isEqualTo(Outcome.COMPLETED);
            assertThat(streamed.tokens()).isEqualTo(TOKENS);
            assertThat(streamed.firstToken()).isPresent();
            assertThat(whole.outcome()).isEqualTo(Outcome.COMPLETED);
            assertThat(daemon.calls().get(0).header("Authorization")).isEqualTo("Bearer key");
        }
    }

    private static int from(final FakeDaemon.Call call) {
        final String last = call.header("Last-Event-ID");
        return last.isEmpty() ? 0 : Integer.parseInt(last) + 1;
    }

    private static RequestResult call(final FakeDaemon target, final CallStyle style)
            throws Exception {
        return call(target.uri(), style, Duration.ofSeconds(20));
    }

    private static RequestResult call(
            final URI target, final CallStyle style, final Duration deadline) throws Exception {
        final RequestKind kind =
                RequestKind.builder("kind", style).target("service/path").tokens(8, 8).build();
        final PlannedRequest request =
                new PlannedRequest(
                        new RequestId("request-1"),
                        new LoadCustomer("customer", "key", "tier", 1),
                        kind,
                        List.of("a shared prefix", "a question"),
                        style.plain() ? 0 : TOKENS);
        final CallerConfig config = CallerConfig.of(List.of(target)).withDeadline(deadline);
        try (Callers callers = new Callers(config, new LoadNothing(), System::nanoTime, 1)) {
            return callers.call(request, System.nanoTime()).get(1, TimeUnit.MINUTES);
        }
    }

    /** Ignores what callers see. */
    private static final class LoadNothing implements CallObserver {
        @Override
        public void betweenTokens(final Duration gap) {
            // Not looked at here.
        }

        @Override
        public void ended(final RequestResult result) {
            // The future tells the same.
        }
    }
}
