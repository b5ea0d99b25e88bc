package org.whinhead.standins.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse.BodyHandlers;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.whinhead.api.model.ModelRef;
import org.whinhead.standins.http.StandInCall;

/** Handles orders to an engine over HTTP; loads models through the weight store, if any. */
final class OrderHandler {

    private static final Executor RETRY =
            CompletableFuture.delayedExecutor(500, TimeUnit.MILLISECONDS);

    private final EngineOrders mOrders;
    private final Optional<URI> mWeights;
    private final HttpClient mClient = HttpClient.newHttpClient();

    OrderHandler(final EngineConfig config) {
        mOrders = new EngineOrders(config.models(), config.checksFencing());
        mWeights = config.weights();
    }

    synchronized boolean serves(final String model) {
        return mOrders.models().contains(model);
    }

    synchronized int staleOrders() {
        return mOrders.staleOrders();
    }

    synchronized void models(final StandInCall call) {
        final ObjectNode root = StandInCall.object();
        final ArrayNode data = root.putArray("data");
        mOrders.models().stream().sorted().forEach(model -> data.addObject().put("id", model));
        mOrders.role().ifPresent(role -> root.put("role", role));
        call.reply(200, root);
    }

    synchronized void order(final StandInCall call) throws IOException {
        final EngineOrders.Order order = parse(call.json());
        final OptionalLong newest = mOrders.apply(order);
        if (newest.isPresent()) {
            call.reply(409, StandInCall.object().put("newest", newest.getAsLong()));
            return;
        }
        if (order.kind() == EngineOrders.Kind.LOAD) {
            load(order.model());
        }
        call.reply(200, StandInCall.object());
    }

    private static EngineOrders.Order parse(final JsonNode body) {
        return new EngineOrders.Order(
                body.path("orderId").asText(),
                body.path("fencing").asLong(),
                EngineOrders.Kind.valueOf(body.path("kind").asText().toUpperCase(Locale.ROOT)),
                body.path("model").asText(),
                body.path("role").asText());
    }

    private void load(final String model) {
        if (mWeights.isEmpty()) {
            loaded(model);
            return;
        }
        final ModelRef reference = ModelRef.parse(model);
        final URI uri =
                mWeights.get().resolve("/weights/" + reference.name() + "/" + reference.version());
        mClient.sendAsync(HttpRequest.newBuilder(uri).build(), BodyHandlers.discarding())
                .whenComplete(
                        (answer, failure) -> {
                            if (failure == null && answer.statusCode() == 200) {
                                loaded(model);
                            } else {
                                RETRY.execute(() -> load(model));
                            }
                        });
    }

    private synchronized void loaded(final String model) {
        mOrders.loaded(model);
    }
}
