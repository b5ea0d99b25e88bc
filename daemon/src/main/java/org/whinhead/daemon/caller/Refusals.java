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

/** Writes refusals as HTTP responses. */
final class Refusals {

    private static final String JSON = "application/json";
    private static final long LINGER_MILLIS = 2000;

    private static final AttachmentKey<Consumer<Refusal>> LISTENER =
            AttachmentKey.create(Consumer.class);

    private Refusals() {}

    /** Sets the listener of a refusal that precedes the submission of the request. */
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
     * Changes the verdict "not run" of a repeated request to "may have run".
     *
     * <p>The first submission may have run at a daemon that died before it answered, while this one
     * is refused, for example because the log is not available. This daemon knows only that the
     * repeat did not run.
     */
    private static Refusal weakenIfRepeat(
            final HttpServerExchange exchange, final Refusal refusal) {
        if (!CallerHeaders.isRepeat(exchange) || refusal.verdict() != Verdict.NOT_RUN) {
            return refusal;
        }
        return new Refusal(
                refusal.code(), Verdict.MAY_HAVE_RUN, refusal.detail(), refusal.retryAfter());
    }

    /** Writes the refusal of a request whose body was read and that has a writer. */
    static void write(final ExchangeWriter writer, final Refusal original) {
        final Refusal refusal = weakenIfRepeat(writer.exchange(), original);
        final byte[] body = RefusalBody.of(refusal);
        setStatusAndHeaders(writer.exchange(), refusal);
        writer.exchange().getResponseHeaders().put(Headers.CONTENT_LENGTH, body.length);
        writer.write(body);
        writer.end();
    }

    /**
     * Sends the refusal of a request before its submission; called on the connection's IO thread.
     *
     * <p>A caller might never end its body, so the connection is closed if the rest of the body
     * does not arrive within the linger time. Closing it immediately would make the kernel reset
     * the connection, and the caller might not receive the refusal.
     */
    static void send(final HttpServerExchange exchange, final Refusal original) {
        final Refusal refusal = weakenIfRepeat(exchange, original);
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
