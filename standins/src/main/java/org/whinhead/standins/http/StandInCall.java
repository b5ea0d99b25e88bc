package org.whinhead.standins.http;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.sse.ServerSentEventConnection;
import io.undertow.server.handlers.sse.ServerSentEventHandler;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.xnio.IoUtils;

/** An HTTP call with its complete body; any thread may answer it, at once or later. */
public final class StandInCall {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String JSON_TYPE = "application/json";
    private static final String BYTES_TYPE = "application/octet-stream";

    private static final Executor LATER =
            CompletableFuture.delayedExecutor(20, TimeUnit.MILLISECONDS);

    private final HttpServerExchange mExchange;
    private final byte[] mBody;

    StandInCall(final HttpServerExchange exchange, final byte[] body) {
        mExchange = exchange;
        mBody = body;
    }

    /** Returns a new, empty JSON object. */
    public static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    /**
     * Parses the body.
     *
     * @return the body's JSON object
     * @throws IOException if the body is not a JSON object
     */
    public JsonNode json() throws IOException {
        final JsonNode tree = MAPPER.readTree(mBody);
        if (tree == null || !tree.isObject()) {
            throw new IOException("the body is no JSON object");
        }
        return tree;
    }

    /** Returns the raw body. */
    public byte[] body() {
        return mBody.clone();
    }

    /** Returns the path of the call. */
    public String path() {
        return mExchange.getRelativePath();
    }

    /**
     * Returns a query or path parameter.
     *
     * @param name the parameter's name
     * @return its first value, if any
     */
    public Optional<String> parameter(final String name) {
        final Deque<String> values = mExchange.getQueryParameters().get(name);
        return values == null ? Optional.empty() : Optional.ofNullable(values.peekFirst());
    }

    /**
     * Returns a numeric query parameter.
     *
     * @param name the parameter's name
     * @param fallback the value of an absent parameter
     * @return the number
     * @throws IOException if the parameter is not a number
     */
    public long number(final String name, final long fallback) throws IOException {
        try {
            return parameter(name).map(Long::parseLong).orElse(fallback);
        } catch (final NumberFormatException e) {
            throw new IOException(name + " is no number", e);
        }
    }

    /**
     * Returns a request header.
     *
     * @param name the header's name
     * @return its value, if any
     */
    public Optional<String> header(final String name) {
        return Optional.ofNullable(mExchange.getRequestHeaders().getFirst(name));
    }

    /**
     * Sets a response header; must be called before the response is sent.
     *
     * @param name the header's name
     * @param value its value
     * @return this call
     */
    public StandInCall withHeader(final String name, final String value) {
        mExchange.getResponseHeaders().put(new HttpString(name), value);
        return this;
    }

    /** Responds with JSON. */
    public void reply(final int status, final JsonNode tree) {
        send(status, JSON_TYPE, tree.toString().getBytes(StandardCharsets.UTF_8));
    }

    /** Responds with opaque bytes and status 200. */
    public void reply(final byte[] bytes) {
        send(200, BYTES_TYPE, bytes);
    }

    /** Responds without a body. */
    public void reply(final int status) {
        send(status, JSON_TYPE, new byte[0]);
    }

    /** Responds with an error message as JSON. */
    public void fail(final int status, final String message) {
        reply(status, object().set("error", object().put("message", message)));
    }

    /** Closes the connection without a response. */
    public void closeConnection() {
        IoUtils.safeClose(mExchange.getConnection());
    }

    /** Runs a task on the call's I/O thread after a delay. */
    public void runAfter(final Duration delay, final Runnable task) {
        mExchange.getIoThread().executeAfter(task, delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Runs a task on another thread after 20 ms, when the response has usually been sent. */
    public void runAfterReply(final Runnable task) {
        LATER.execute(task);
    }

    /**
     * Responds with a stream of server-sent events.
     *
     * @param opened receives the open connection
     * @throws IOException if the response can't be started
     */
    public void stream(final Consumer<ServerSentEventConnection> opened) throws IOException {
        // Without chunks the end of the connection ends the response, and a caller can't
        // distinguish an interrupted stream from a complete one.
        mExchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
        try {
            new ServerSentEventHandler((connection, last) -> opened.accept(connection))
                    .handleRequest(mExchange);
        } catch (final IOException e) {
            throw e;
        } catch (final Exception e) {
            throw new IOException(e);
        }
    }

    private void send(final int status, final String type, final byte[] bytes) {
        mExchange
                .getIoThread()
                .execute(
                        () -> {
                            mExchange.setStatusCode(status);
                            mExchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
                            mExchange.getResponseSender().send(ByteBuffer.wrap(bytes));
                        });
    }
}
