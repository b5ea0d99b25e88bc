package org.whinhead.daemon.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.Undertow;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;
import org.whinhead.api.model.Customer;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.model.TeamId;
import org.whinhead.api.model.Tier;
import org.whinhead.api.request.RequestId;
import org.whinhead.daemon.request.LiveRequests;
import org.whinhead.daemon.request.TicketDirectory;

final class ChatHandlerTest {

    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final Tier TIER =
            new Tier(
                    "court",
                    5,
                    Duration.ofMillis(400),
                    Duration.ofMillis(40),
                    Duration.ofMinutes(1));

    /**
     * Guards against a caller without any answer: an unexpected exception after the ticket of a
     * repeated request was asked of other daemons, outside the server's own error handling.
     */
    @Test
    void repeatedRequestIsAnsweredAfterAnException() throws Exception {
        final ChatHandler handler =
                new ChatHandler(
                        () -> {
                            throw new IllegalStateException("no view");
                        },
                        new RequestSubmitter(new LiveRequests(), null, null, () -> false, 1, 1),
                        new BodyReceiver(1_000, TIMEOUT),
                        new RequestNames(new DaemonId("daemon")),
                        null,
                        new EmptyDirectory(),
                        () -> Instant.EPOCH);
        final Undertow server =
                Undertow.builder()
                        .addHttpListener(0, "127.0.0.1")
                        .setHandler(exchange -> handler.handle(exchange, customer(), "request"))
                        .build();
        server.start();
        try {
            final InetSocketAddress address =
                    (InetSocketAddress) server.getListenerInfo().get(0).getAddress();
            assertThat(repeat(address.getPort()).statusCode()).isEqualTo(500);
        } finally {
            server.stop();
        }
    }

    private static HttpResponse<String> repeat(final int port) throws Exception {
        return HttpClient.newHttpClient()
                .send(
                        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/"))
                                .timeout(TIMEOUT)
                                .header("X-Whinhead-Repeat", "true")
                                .POST(
                                        HttpRequest.BodyPublishers.ofString(
                                                "{\"model\":\"m@1\",\"max_tokens\":1,\"messages\":"
                                                    + "[{\"role\":\"user\",\"content\":\"a\"}]}"))
                                .build(),
                        HttpResponse.BodyHandlers.ofString());
    }

    private static Customer customer() {
        return new Customer(new CustomerId("customer"), new TeamId("team"), TIER, List.of(), 1, 1);
    }

    private static final class EmptyDirectory implements TicketDirectory {
        @Override
        public void store(final RequestId request, final String ticket) {
            throw new IllegalStateException("nothing to store");
        }

        @Override
        public CompletionStage<Optional<String>> find(final RequestId request) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
    }
}
