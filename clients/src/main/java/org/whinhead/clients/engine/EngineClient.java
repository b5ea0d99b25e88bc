package org.whinhead.clients.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import org.whinhead.api.model.ModelRef;
import org.whinhead.clients.http.BufferedHttpClient;
import org.whinhead.clients.http.BufferedHttpResponse;
import org.whinhead.clients.http.HttpCaller;
import org.whinhead.clients.http.OutgoingRequest;

/** Reads the loaded models and the load of engines over HTTP. */
public final class EngineClient {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final int MAX_RESPONSE_BYTES = 256 * 1024;

    private final BufferedHttpClient mClient;

    /**
     * Creates a client.
     *
     * @param caller the HTTP caller
     */
    public EngineClient(final HttpCaller caller) {
        mClient = new BufferedHttpClient(caller, TIMEOUT, MAX_RESPONSE_BYTES);
    }

    /**
     * Reads the models that an engine has loaded.
     *
     * @param engine the engine's base address
     * @return the models; fails with an {@link IOException} if the call or the parsing fails
     */
    public CompletionStage<Set<ModelRef>> models(final URI engine) {
        return mClient.send(OutgoingRequest.to(engine, "/v1/models").build())
                .thenApply(EngineClient::models);
    }

    /**
     * Reads the load of an engine.
     *
     * @param engine the engine's base address
     * @return the load; fails with an {@link IOException} if the call or the parsing fails
     */
    public CompletionStage<EngineLoad> load(final URI engine) {
        return mClient.send(OutgoingRequest.to(engine, "/v1/load").build())
                .thenApply(EngineClient::load);
    }

    private static Set<ModelRef> models(final BufferedHttpResponse response) {
        final Set<ModelRef> models = new HashSet<>();
        try {
            for (final JsonNode model : parseJson(response).path("data")) {
                models.add(ModelRef.parse(model.path("id").asText()));
            }
        } catch (final IllegalArgumentException e) {
            throw new UncheckedIOException(new IOException("invalid model list", e));
        }
        return models;
    }

    private static EngineLoad load(final BufferedHttpResponse response) {
        final JsonNode root = parseJson(response);
        try {
            return new EngineLoad(
                    Instant.parse(root.path("asOf").asText()),
                    root.path("running").asInt(),
                    root.path("waiting").asInt(),
                    root.path("tokensPerSecond").asDouble());
        } catch (final DateTimeException e) {
            throw new UncheckedIOException(new IOException("invalid engine load", e));
        }
    }

    private static JsonNode parseJson(final BufferedHttpResponse response) {
        try {
            if (response.status() != StatusCodes.OK) {
                throw new IOException("engine returned status " + response.status());
            }
            return MAPPER.readTree(response.body());
        } catch (final IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
