package org.whinhead.cli;

import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.BlockingHandler;
import io.undertow.util.Headers;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Queue;
import org.xnio.IoUtils;

/** Responds to operator calls with prepared responses, in order, and records the requests. */
final class FakeDaemon implements AutoCloseable {

    private record Response(int status, String body) {}

    private static final int CLOSE_CONNECTION = 0;

    private final Undertow mServer;
    private final Queue<Response> mResponses = new ArrayDeque<>();
    private final List<String> mRequests = Collections.synchronizedList(new ArrayList<>());

    FakeDaemon() {
        mServer =
                Undertow.builder()
                        .addHttpListener(0, "127.0.0.1")
                        .setIoThreads(1)
                        .setWorkerThreads(1)
                        .setHandler(new BlockingHandler(this::handle))
                        .build();
        mServer.start();
    }

    FakeDaemon respondWith(final int status, final String body) {
        mResponses.add(new Response(status, body));
        return this;
    }

    FakeDaemon closeConnection() {
        return respondWith(CLOSE_CONNECTION, "");
    }

    String uri() {
        final InetSocketAddress address =
                (InetSocketAddress) mServer.getListenerInfo().get(0).getAddress();
        return "http://127.0.0.1:" + address.getPort();
    }

    /** Returns the requests, each as method, target, authorization header and body. */
    List<String> requests() {
        return mRequests;
    }

    private void handle(final HttpServerExchange exchange) throws IOException {
        final String body =
                new String(exchange.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        final String query = exchange.getQueryString();
        mRequests.add(
                exchange.getRequestMethod()
                        + " "
                        + exchange.getRequestPath()
                        + (query.isEmpty() ? "" : "?" + query)
                        + " "
                        + exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION)
                        + (body.isEmpty() ? "" : " " + body));
        final Response response = mResponses.remove();
        if (response.status() == CLOSE_CONNECTION) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        exchange.setStatusCode(response.status());
        exchange.getResponseSender().send(response.body());
    }

    @Override
    public void close() {
        mServer.stop();
    }
}
