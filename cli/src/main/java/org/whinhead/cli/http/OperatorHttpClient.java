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

/** Makes blocking HTTP calls, each on its own connection. */
public final class OperatorHttpClient implements AutoCloseable {

    private static final int BUFFER_BYTES = 16 * 1024;
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final XnioWorker mWorker;
    private final ByteBufferPool mBuffers = new DefaultByteBufferPool(false, BUFFER_BYTES);
    private final Duration mTimeout;

    /**
     * Creates a client and starts its IO thread.
     *
     * @param timeout the connect timeout, and also the timeout of the response
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
            throw new IllegalStateException("cannot create the IO worker for HTTP calls", e);
        }
    }

    /**
     * Sends a request and waits for the response.
     *
     * @param base the operator address of the daemon
     * @param method the HTTP method
     * @param target the path and query
     * @param key the operator's key, if any
     * @param body the JSON body; empty for none
     * @return the response, of any status
     * @throws HttpCallException if there is no complete response
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
            final CompletableFuture<OperatorResponse> response = new CompletableFuture<>();
            onIoThread(
                    connection,
                    () -> connection.sendRequest(request, new RequestCallback(body, response)));
            return await(response, true);
        } finally {
            onIoThread(connection, () -> IoUtils.safeClose(connection));
        }
    }

    /**
     * Runs a step on the IO thread of the connection. That thread cleans up the connection when the
     * daemon closes it; a write on another thread meanwhile causes a NullPointerException.
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
            throw new HttpCallException("no response within " + mTimeout, mayHaveArrived);
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
            throw new IOException("the response is not JSON (status " + status + ")", e);
        }
    }

    /** Completes a future with the result of a callback. */
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

    /** Writes the request body and registers the callback for the response. */
    private final class RequestCallback implements ClientCallback<ClientExchange> {
        private final String mBody;
        private final CompletableFuture<OperatorResponse> mResponse;

        private RequestCallback(
                final String body, final CompletableFuture<OperatorResponse> response) {
            mBody = body;
            mResponse = response;
        }

        @Override
        public void completed(final ClientExchange exchange) {
            exchange.setResponseListener(new ResponseCallback(mResponse));
            if (!mBody.isEmpty()) {
                new StringWriteChannelListener(mBody).setup(exchange.getRequestChannel());
            }
        }

        @Override
        public void failed(final IOException cause) {
            mResponse.completeExceptionally(cause);
        }
    }

    /** Reads the response body. */
    private final class ResponseCallback implements ClientCallback<ClientExchange> {
        private final CompletableFuture<OperatorResponse> mResponse;

        private ResponseCallback(final CompletableFuture<OperatorResponse> response) {
            mResponse = response;
        }

        @Override
        public void completed(final ClientExchange exchange) {
            final int status = exchange.getResponse().getResponseCode();
            new StringReadChannelListener(mBuffers) {
                @Override
                protected void stringDone(final String text) {
                    try {
                        mResponse.complete(parse(status, text));
                    } catch (IOException e) {
                        error(e);
                    }
                }

                @Override
                protected void error(final IOException cause) {
                    mResponse.completeExceptionally(cause);
                }
            }.setup(exchange.getResponseChannel());
        }

        @Override
        public void failed(final IOException cause) {
            mResponse.completeExceptionally(cause);
        }
    }
}
