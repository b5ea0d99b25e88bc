package org.whinhead.standins.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.whinhead.standins.StandInContext;

final class EngineFaultsTest {

    private static final int CALLERS = 24;
    private static final String BODY =
            "{\"model\":\"summary@1\",\"max_tokens\":100000,\"stream\":true,"
                    + "\"messages\":[{\"role\":\"user\",\"content\":\"a\"}]}";

    /**
     * An engine's process ends while many streams run and new requests arrive. Every caller's
     * connection must fail at once instead of staying open without data.
     */
    @Test
    void killClosesEveryStreamAndRevivedEngineServes() throws Exception {
        final HttpClient client = HttpClient.newHttpClient();
        try (StandInContext context = StandInContext.start();
                EngineStandIn engine =
                        EngineStandIn.start(EngineConfig.builder("one").build(), context)) {
            final CountDownLatch begun = new CountDownLatch(CALLERS);
            final List<CompletableFuture<Boolean>> broken = new ArrayList<>();
            for (int caller = 0; caller < CALLERS; caller++) {
                broken.add(
                        client.sendAsync(request(engine), BodyHandlers.ofLines())
                                .whenComplete((answer, failure) -> begun.countDown())
                                .thenApplyAsync(HttpResponse::body)
                                .thenApplyAsync(Stream::count)
                                .handle((count, failure) -> failure != null));
            }
            begun.await();
            engine.kill();
            for (final CompletableFuture<Boolean> one : broken) {
                assertThat(one.get()).isTrue();
            }
            engine.revive();
            assertThat(client.send(get(engine, "/v1/models"), BodyHandlers.ofString()).statusCode())
                    .isEqualTo(200);
        }
    }

    /**
     * An engine's VM is paused: it accepts connections and requests but sends nothing. After the
     * pause it continues and answers requests that their senders may have abandoned.
     */
    @Test
    void frozenEngineDefersCallsUntilUnfrozen() throws Exception {
        final HttpClient client = HttpClient.newHttpClient();
        try (StandInContext context = StandInContext.start();
                EngineStandIn engine =
                        EngineStandIn.start(EngineConfig.builder("one").build(), context)) {
            engine.freeze(true);
            final CompletableFuture<HttpResponse<String>> late =
                    client.sendAsync(get(engine, "/v1/models"), BodyHandlers.ofString());
            final HttpResponse<String> control =
                    client.send(get(engine, "/witness"), BodyHandlers.ofString());
            assertThat(control.statusCode()).isEqualTo(200);
            assertThat(late).isNotDone();
            engine.freeze(false);
            assertThat(late.get().statusCode()).isEqualTo(200);
        }
    }

    private static HttpRequest get(final EngineStandIn engine, final String path) {
        return HttpRequest.newBuilder(engine.uri().resolve(path)).build();
    }

    private static HttpRequest request(final EngineStandIn engine) {
        return HttpRequest.newBuilder(engine.uri().resolve("/v1/chat/completions"))
                .POST(BodyPublishers.ofString(BODY))
                .build();
    }
}
