package org.whinhead.standins.load.caller;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.whinhead.api.request.RequestId;
import org.whinhead.standins.load.FakeDaemon;
import org.whinhead.standins.load.mix.CallStyle;
import org.whinhead.standins.load.mix.LoadCustomer;
import org.whinhead.standins.load.mix.PlannedRequest;
import org.whinhead.standins.load.mix.RequestKind;
import org.whinhead.standins.load.result.RequestResult;

/** Sends one request to daemons of a test. */
final class OneCall {

    static final int TOKENS = 8;
    static final int HALF = TOKENS / 2;

    static final FakeDaemon.Script REST = call -> call.tokens(from(call), TOKENS).done();

    static final FakeDaemon.Script OVERLOADED = call -> call.refuse(503, "not-run", "overloaded");

    static final FakeDaemon.Script REFUSED_FOR_GOOD =
            call -> call.refuseForGood(503, "not-run", "overloaded");

    private OneCall() {}

    private static int from(final FakeDaemon.Call call) {
        final String last = call.header("Last-Event-ID");
        return last.isEmpty() ? 0 : Integer.parseInt(last) + 1;
    }

    static RequestResult call(final FakeDaemon target, final CallStyle style) throws Exception {
        return call(CallerConfig.of(List.of(target.uri())), style);
    }

    static RequestResult call(final CallerConfig config, final CallStyle style) throws Exception {
        return call(config, style, System.nanoTime());
    }

    static RequestResult call(
            final CallerConfig config, final CallStyle style, final long startedAt)
            throws Exception {
        try (Callers callers = new Callers(config, new LoadNothing(), System::nanoTime, 1)) {
            return callers.call(request(style), startedAt).get(1, TimeUnit.MINUTES);
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
                style.plain() ? 0 : TOKENS);
    }

    /** Ignores what callers see. */
    static final class LoadNothing implements CallObserver {
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
