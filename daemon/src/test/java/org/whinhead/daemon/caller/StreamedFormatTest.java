package org.whinhead.daemon.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.whinhead.api.verdict.ErrorCode;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.api.verdict.Verdict;

/** Checks what a caller of a streamed answer receives, over a real connection. */
final class StreamedFormatTest {

    private static final int MAX_WAITING_BYTES = 1 << 16;
    private static final long TIMEOUT_SECONDS = 10;
    private static final String TICKET_HEADER = "X-Whinhead-Ticket";

    private final CompletableFuture<QueuedReply> mReply = new CompletableFuture<>();
    private Undertow mServer;

    @BeforeEach
    void start() {
        mServer =
                Undertow.builder()
                        .addHttpListener(
                                0,
                                "127.0.0.1",
                                exchange ->
                                        exchange.dispatch(() -> mReply.complete(open(exchange))))
                        .build();
        mServer.start();
    }

    @AfterEach
    void stop() {
        mServer.stop();
    }

    /**
     * Guards against a second computation of the whole prompt after a daemon ends between the
     * engine's acceptance and the first token: the caller must hold the ticket by then.
     */
    @Test
    void ticketIsSentBeforeTheFirstToken() throws Exception {
        final CompletableFuture<HttpResponse<Stream<String>>> response = send();

        reply().sendTicket("first");

        final HttpResponse<Stream<String>> begun = get(response);
        assertThat(begun.headers().firstValue(TICKET_HEADER)).contains("first");
        assertThat(begun.headers().firstValue("Content-Type")).contains("text/event-stream");
        reply().sendTicket("second");
        reply().refuse(refusal());
        assertThat(begun.body())
                .filteredOn(line -> !line.isEmpty())
                .satisfiesExactly(
                        line -> assertThat(line).isEqualTo(": ticket second"),
                        line -> assertThat(line).isEqualTo("event: error"),
                        line -> assertThat(line).contains("endpoint-lost", "may-have-run"));
    }

    @Test
    void refusalBeforeAnyTicketHasItsStatus() throws Exception {
        final CompletableFuture<HttpResponse<Stream<String>>> response = send();

        reply().refuse(refusal());

        assertThat(get(response).statusCode()).isGreaterThanOrEqualTo(500);
        assertThat(get(response).headers().firstValue("X-Whinhead-Verdict"))
                .contains("may-have-run");
    }

    @Test
    void callerHandedBackBeforeAnyTicketReceivesStatusAndTicket() throws Exception {
        final CompletableFuture<HttpResponse<Stream<String>>> response = send();

        reply().handBack("first", refusal());

        assertThat(get(response).statusCode()).isGreaterThanOrEqualTo(500);
        assertThat(get(response).headers().firstValue(TICKET_HEADER)).contains("first");
    }

    private QueuedReply open(final HttpServerExchange exchange) {
        final ExchangeWriter writer =
                new ExchangeWriter(exchange, MAX_WAITING_BYTES, () -> {}, whole -> {});
        return new QueuedReply(
                exchange.getIoThread(),
                new StreamedFormat(new ChatResponseJson("request", "model@1")),
                writer);
    }

    private CompletableFuture<HttpResponse<Stream<String>>> send() {
        final InetSocketAddress address =
                (InetSocketAddress) mServer.getListenerInfo().get(0).getAddress();
        final URI uri = URI.create("http://127.0.0.1:" + address.getPort() + "/");
        return HttpClient.newHttpClient()
                .sendAsync(HttpRequest.newBuilder(uri).build(), BodyHandlers.ofLines());
    }

    private QueuedReply reply() throws Exception {
        return get(mReply);
    }

    private static Refusal refusal() {
        return new Refusal(ErrorCode.ENDPOINT_LOST, Verdict.MAY_HAVE_RUN, "lost", Optional.empty());
    }

    private static <T> T get(final CompletableFuture<T> future) throws Exception {
        return future.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
}
