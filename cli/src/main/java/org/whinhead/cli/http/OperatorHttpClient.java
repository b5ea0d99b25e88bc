package org.whinhead.cli.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StringReadChannelListener;
import io.undertow.util.StringWriteChannelListener;
import java.io.IOException;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Makes one HTTP call at a time, each on a connection of its own, and waits for the answer. */
public final class OperatorHttpClient implements AutoCloseable {

    private static final int BUFFER_BYTES = 16 * 1024;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final XnioWorker mWorker;
    private final ByteBufferPool mBuffers = new DefaultByteBufferPool(false, BUFFER_BYTES);
    private final Duration mTimeout;

    /**
     * Starts the thread that the calls use.
     *
     * @param timeout how long a connection and an answer may each take
     */
    public OperatorHttpClient(final Duration timeout) {
        mTimeout = timeout;
        try {
            mWorker =
                    Xnio.getInstance()
                            .createWorker(
                                    OptionMap.builder()
                                            .set(Options.WORKER_IO_THREADS, 1)
                                            .set(Options.THREAD_DAEMON, true)
                                            .getMap());
        } catch (IOException e) {
            throw new IllegalStateException("no worker for HTTP calls", e);
        }
    }

    /**
     * Makes a call.
     *
     * @param base the daemon's address
     * @param method the HTTP method
     * @param target path and query
     * @param key the operator's key, if any
     * @param body the JSON body; empty for none
     * @return the answer, whatever its status
     * @throws HttpCallException if no whole answer came
     */
    public OperatorResponse call(
            final URI base,
            final HttpString method,
            final String target,
            final Optional<String> key,
            final String body)
            throws HttpCallException {
        final ClientConnection connection = connect(base);
        try {
            final ClientRequest request = new ClientRequest().setMethod(method).setPath(target);
            request.getRequestHeaders().put(Headers.HOST, base.getAuthority());
            request.getRequestHeaders().put(Headers.CONTENT_TYPE, "application/json");
            final int length = body.getBytes(StandardCharsets.UTF_8).length;
            request.getRequestHeaders().put(Headers.CONTENT_LENGTH, length);
            key.ifPresent(
                    text ->
                            request.getRequestHeaders()
                                    .put(Headers.AUTHORIZATION, "Bearer " + text));
            final CompletableFuture<OperatorResponse> answer = new CompletableFuture<>();
            onIoThread(
                    connection,
                    () -> connection.sendRequest(request, new RequestCallback(body, answer)));
            return await(answer, true);
        } finally {
            onIoThread(connection, () -> IoUtils.safeClose(connection));
        }
    }

    /**
     * Runs a step where the connection is at home. Its IO thread clears it away when the daemon
     * closes it; a request written by another thread meanwhile ends in a NullPointerException.
     */
    private static void onIoThread(final ClientConnection connection, final Runnable step) {
        connection.getIoThread().execute(step);
    }

    private ClientConnection connect(final URI base) throws HttpCallException {
        final CompletableFuture<ClientConnection> connection = new CompletableFuture<>();
        UndertowClient.getInstance()
                .connect(
                        new FutureCallback<>(connection), base, mWorker, mBuffers, OptionMap.EMPTY);
        return await(connection, false);
    }

    private <T> T await(final CompletableFuture<T> future, final boolean mayHaveArrived)
            throws HttpCallException {
        try {
            return future.get(mTimeout.toMillis(), TimeUnit.MILLISECONDS);
        } catch (ExecutionException e) {
            throw new HttpCallException(String.valueOf(e.getCause().getMessage()), mayHaveArrived);
        } catch (TimeoutException e) {
            throw new HttpCallException("no answer within " + mTimeout, mayHaveArrived);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new HttpCallException("interrupted", mayHaveArrived);
        }
    }

    @Override
    public void close() {
        mWorker.shutdownNow();
    }

    private static OperatorResponse parse(final int status, final String text) throws IOException {
        try {
            final JsonNode body =
                    text.isEmpty() ? MissingNode.getInstance() : MAPPER.readTree(text);
            return new OperatorResponse(status, body);
        } catch (JsonProcessingException e) {
            throw new IOException("the answer is not JSON (status " + status + ")", e);
        }
    }

    /** Completes a future with what a callback gets. */
    private record FutureCallback<T>(CompletableFuture<T> future) implements ClientCallback<T> {
        @Override
        public void completed(final T result) {
            future.complete(result);
        }

        @Override
        public void failed(final IOException cause) {
            future.completeExceptionally(cause);
        }
    }

    /** Writes the body and awaits the head of the answer. */
    private final class RequestCallback implements ClientCallback<ClientExchange> {
        private final String mBody;
        private final CompletableFuture<OperatorResponse> mAnswer;

        private RequestCallback(
                final String body, final CompletableFuture<OperatorResponse> answer) {
            mBody = body;
            mAnswer = answer;
        }

        @Override
        public void completed(final ClientExchange exchange) {
            exchange.setResponseListener(new ResponseCallback(mAnswer));
            if (!mBody.isEmpty()) {
                new StringWriteChannelListener(mBody).setup(exchange.getRequestChannel());
            }
        }

        @Override
        public void failed(final IOException cause) {
            mAnswer.completeExceptionally(cause);
        }
    }

    /** Reads the answer's body. */
    private final class ResponseCallback implements ClientCallback<ClientExchange> {
        private final CompletableFuture<OperatorResponse> mAnswer;

        private ResponseCallback(final CompletableFuture<OperatorResponse> answer) {
            mAnswer = answer;
        }

        @Override
        public void completed(final ClientExchange exchange) {
            final int status = exchange.getResponse().getResponseCode();
            new StringReadChannelListener(mBuffers) {
                @Override
                protected void stringDone(final String text) {
                    try {
                        mAnswer.complete(parse(status, text));
                    } catch (IOException e) {
                        error(e);
                    }
                }

                @Override
                protected void error(final IOException cause) {
                    mAnswer.completeExceptionally(cause);
                }
            }.setup(exchange.getResponseChannel());
        }

        @Override
        public void failed(final IOException cause) {
            mAnswer.completeExceptionally(cause);
        }
    }
}
