package org.whinhead.daemon.caller;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import java.time.Duration;
import java.util.List;
import java.util.function.Supplier;
import org.whinhead.daemon.view.DeploymentView;
import org.whinhead.daemon.view.EntryAddress;

/** Answers requests for the lists of models and of daemon addresses. */
final class ListingHandler {

    private final Supplier<DeploymentView> mView;
    private final Supplier<List<EntryAddress>> mAddresses;
    private final Duration mAddressCacheTime;

    ListingHandler(
            final Supplier<DeploymentView> view,
            final Supplier<List<EntryAddress>> addresses,
            final Duration addressCacheTime) {
        mView = view;
        mAddresses = addresses;
        mAddressCacheTime = addressCacheTime;
    }

    /** Sends the list of models: {@code GET /v1/models}. */
    void listModels(final HttpServerExchange exchange) {
        final ObjectNode root = JsonNodeFactory.instance.objectNode().put("object", "list");
        final ArrayNode data = root.putArray("data");
        mView.get().models().keySet().stream()
                .sorted()
                .forEach(name -> data.addObject().put("id", name).put("object", "model"));
        send(exchange, root);
    }

    /** Sends the addresses that callers may use: {@code GET /v1/addresses}. */
    void listAddresses(final HttpServerExchange exchange) {
        final ObjectNode root = JsonNodeFactory.instance.objectNode();
        final ArrayNode addresses = root.putArray("addresses");
        for (final EntryAddress address : mAddresses.get()) {
            addresses
                    .addObject()
                    .put("uri", address.uri().toString())
                    .put("domain", address.domain().toString());
        }
        root.put("keepMillis", mAddressCacheTime.toMillis());
        send(exchange, root);
    }

    private static void send(final HttpServerExchange exchange, final ObjectNode root) {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
        exchange.getResponseSender().send(root.toString());
    }
}
