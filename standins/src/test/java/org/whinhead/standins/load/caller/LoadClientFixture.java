package org.whinhead.standins.load.caller;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.whinhead.api.request.RequestId;
import org.whinhead.standins.load.ScriptedDaemon;
import org.whinhead.standins.load.mix.CallStyle;
import org.whinhead.standins.load.mix.LoadCustomer;
import org.whinhead.standins.load.mix.PlannedRequest;
import org.whinhead.standins.load.mix.RequestKind;
import org.whinhead.standins.load.result.RequestResult;

/** Sends single requests to scripted daemons and defines common scripts. */
final class LoadClientFixture {

    static final int TOKEN_COUNT = 8;
    static final int HALF_TOKEN_COUNT = TOKEN_COUNT / 2;

    static final ScriptedDaemon.Script REMAINING_TOKENS =
            call -> call.sendTokens(firstMissingToken(call), TOKEN_COUNT).endStream();

    static final ScriptedDaemon.Script OVERLOADED =
            call -> call.refuse(503, "not-run", "overloaded");

    static final ScriptedDaemon.Script OVERLOADED_WITHOUT_RETRY =
            call -> call.refuseWithoutRetry(503, "not-run", "overloaded");

    private LoadClientFixture() {}

    private static int firstMissingToken(final ScriptedDaemon.ReceivedRequest call) {
        final String last = call.header("Last-Event-ID");
        return last.isEmpty() ? 0 : Integer.parseInt(last) + 1;
    }

    static RequestResult call(final ScriptedDaemon target, final CallStyle style) throws Exception {
        return call(CallerConfig.of(List.of(target.uri())), style);
    }

    static RequestResult call(final CallerConfig config, final CallStyle style) throws Exception {
        return call(config, style, System.nanoTime());
    }

    static RequestResult call(
            final CallerConfig config, final CallStyle style, final long startedAt)
            throws Exception {
        try (LoadClient client =
                new LoadClient(config, new NoOpCallObserver(), System::nanoTime, 1)) {
            return client.call(request(style), startedAt).get(1, TimeUnit.MINUTES);
        }
    }

    static PlannedRequest request(final CallStyle style) {
        final RequestKind kind =
                RequestKind.builder("kind", style).target("service/path").tokens(8, 8).build();
        return new PlannedRequest(
                new RequestId("request-1"),
                new LoadCustomer("customer", "key", "tier", 1),
                kind,
                List.of("a shared prefix", "a question"),
                style.isPlainService() ? 0 : TOKEN_COUNT);
    }

    /** Ignores all measurements. */
    static final class NoOpCallObserver implements CallObserver {
        @Override
        public void onTokenInterval(final Duration interval) {
            // Not verified.
        }

        @Override
        public void onRequestEnded(final RequestResult result) {
            // The future has the same result.
        }
    }
}
