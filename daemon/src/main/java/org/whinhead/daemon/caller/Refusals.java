package org.whinhead.daemon.caller;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.AttachmentKey;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.whinhead.api.verdict.Refusal;
import org.whinhead.api.verdict.Verdict;
import org.xnio.IoUtils;

/** Writes refusals as whole responses. */
final class Refusals {

    private static final String JSON = "application/json";
    private static final long LINGER_MILLIS = 2000;

    private static final AttachmentKey<Consumer<Refusal>> LISTENER =
            AttachmentKey.create(Consumer.class);

    private Refusals() {}

    /** Sets who is told if a request is refused before it was taken in. */
    static void setListener(final HttpServerExchange exchange, final Consumer<Refusal> listener) {
        exchange.putAttachment(LISTENER, listener);
    }

    /** Sets the status and the headers of a refusal. */
    static void setStatusAndHeaders(final HttpServerExchange exchange, final Refusal refusal) {
        final HeaderMap headers = exchange.getResponseHeaders();
        exchange.setStatusCode(refusal.code().status());
        headers.put(Headers.CONTENT_TYPE, JSON);
        headers.put(CallerHeaders.VERDICT, refusal.verdict().wireName());
        refusal.retryAfter()
                .ifPresent(
                        wait ->
                                headers.put(
                                        Headers.RETRY_AFTER, RefusalBody.roundUpToSeconds(wait)));
    }

    /**
     * Returns what a caller may be told of its request, all its submissions together.
     *
     * <p>Guards against "not run" for a filing that ran: its first submission ran at a daemon that
     * then died, and the second one is refused here, for example because the log is out. This
     * daemon knows only that the second did not run, so it does not say more of a repeat.
     */
    private static Refusal weakenIfRepeat(
            final HttpServerExchange exchange, final Refusal refusal) {
        final String repeat = exchange.getRequestHeaders().getFirst(CallerHeaders.REPEAT);
        if (!Boolean.parseBoolean(repeat) || refusal.verdict() != Verdict.NOT_RUN) {
            return refusal;
        }
        return new Refusal(
                refusal.code(), Verdict.MAY_HAVE_RUN, refusal.detail(), refusal.retryAfter());
    }

    /** Refuses a request that was read whole and has a writer. */
    static void write(final ExchangeWriter writer, final Refusal decided) {
        final Refusal refusal = weakenIfRepeat(writer.exchange(), decided);
        final byte[] body = RefusalBody.of(refusal);
        setStatusAndHeaders(writer.exchange(), refusal);
        writer.exchange().getResponseHeaders().put(Headers.CONTENT_LENGTH, body.length);
        writer.write(body);
        writer.end();
    }

    /**
     * Refuses a request before it was taken in; on the connection's IO thread.
     *
     * <p>Guards against a caller that never ends its body: the response goes out at once, and if
     * the rest has not come within a short while, the connection is closed. Closing at once would
     * make the kernel reset the connection, and the caller might never see the refusal.
     */
    static void send(final HttpServerExchange exchange, final Refusal decided) {
        final Refusal refusal = weakenIfRepeat(exchange, decided);
        setStatusAndHeaders(exchange, refusal);
        final Consumer<Refusal> listener = exchange.getAttachment(LISTENER);
        if (listener != null) {
            listener.accept(refusal);
        }
        if (!exchange.isRequestComplete()) {
            exchange.setPersistent(false);
            exchange.getIoThread()
                    .executeAfter(
                            () -> closeIfOpen(exchange), LINGER_MILLIS, TimeUnit.MILLISECONDS);
        }
        exchange.getResponseSender().send(ByteBuffer.wrap(RefusalBody.of(refusal)));
    }

    private static void closeIfOpen(final HttpServerExchange exchange) {
        if (!exchange.isComplete()) {
            IoUtils.safeClose(exchange.getConnection());
        }
    }
}
