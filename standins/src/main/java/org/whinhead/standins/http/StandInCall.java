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

/** One HTTP call, read whole; it may be answered at once or later, from any thread. */
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

    /** Returns an empty JSON object to fill. */
    public static ObjectNode object() {
        return JsonNodeFactory.instance.objectNode();
    }

    /**
     * Parses the body.
     *
     * @return the body's JSON object
     * @throws IOException if the body is no JSON object
     */
    public JsonNode json() throws IOException {
        final JsonNode tree = MAPPER.readTree(mBody);
        if (tree == null || !tree.isObject()) {
            throw new IOException("the body is no JSON object");
        }
        return tree;
    }

    /** Returns the body as it came. */
    public byte[] body() {
        return mBody.clone();
    }

    /** Returns the path of the call. */
    public String path() {
        return mExchange.getRelativePath();
    }

    /**
     * Returns a parameter of the query or of the path template.
     *
     * @param name the parameter's name
     * @return its first value, if any
     */
    public Optional<String> parameter(final String name) {
        final Deque<String> values = mExchange.getQueryParameters().get(name);
        return values == null ? Optional.empty() : Optional.ofNullable(values.peekFirst());
    }

    /**
     * Returns a number from the query.
     *
     * @param name the parameter's name
     * @param fallback the value if it is absent
     * @return the number
     * @throws IOException if it is no number
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
     * Sets a header of the answer; only before the answer is sent.
     *
     * @param name the header's name
     * @param value its value
     * @return this call
     */
    public StandInCall withHeader(final String name, final String value) {
        mExchange.getResponseHeaders().put(new HttpString(name), value);
        return this;
    }

    /** Answers with JSON. */
    public void reply(final int status, final JsonNode tree) {
        send(status, JSON_TYPE, tree.toString().getBytes(StandardCharsets.UTF_8));
    }

    /** Answers with opaque bytes and status 200. */
    public void reply(final byte[] bytes) {
        send(200, BYTES_TYPE, bytes);
    }

    /** Answers without a body. */
    public void reply(final int status) {
        send(status, JSON_TYPE, new byte[0]);
    }

    /** Answers with an error text. */
    public void fail(final int status, final String message) {
        reply(status, object().set("error", object().put("message", message)));
    }

    /** Cuts the connection without an answer. */
    public void closeConnection() {
        IoUtils.safeClose(mExchange.getConnection());
    }

    /** Runs a task on the call's own thread. */
    public void runAfter(final Duration delay, final Runnable task) {
        mExchange.getIoThread().executeAfter(task, delay.toNanos(), TimeUnit.NANOSECONDS);
    }

    /** Runs a task soon, when the answer is on its way, and on another thread. */
    public void runAfterReply(final Runnable task) {
        LATER.execute(task);
    }

    /**
     * Answers with a stream of server-sent events.
     *
     * @param opened gets the connection once it is open
     * @throws IOException if the answer can't begin
     */
    public void stream(final Consumer<ServerSentEventConnection> opened) throws IOException {
        // Without chunks the end of the connection is the end of the answer, and a caller could not
        // tell a stream that was cut from one that is whole.
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
