package org.whinhead.standins.fault;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.whinhead.standins.http.Call;
import org.whinhead.standins.http.CallHandler;
import org.whinhead.standins.http.StandInServer;

/**
 * Answers {@code POST /faults}: a body's {@code kind} names the fault, its other fields the rest.
 */
public final class FaultDesk implements CallHandler {

    private final Map<String, Consumer<JsonNode>> mEffects = new TreeMap<>();
    private final Map<String, Runnable> mLateEffects = new TreeMap<>();

    /** Makes a desk that knows {@code delay} with {@code delayMillis}. */
    public FaultDesk(final StandInServer server) {
        on("delay", body -> server.slow(Duration.ofMillis(body.path("delayMillis").asLong())));
    }

    /**
     * Adds a fault.
     *
     * @param kind its name
     * @param effect gets the command's body
     * @return this desk
     */
    public FaultDesk on(final String kind, final Consumer<JsonNode> effect) {
        mEffects.put(kind, effect);
        return this;
    }

    /**
     * Adds a fault that ends the server, and so takes effect once the command is answered.
     *
     * @param kind its name
     * @param effect what it does
     * @return this desk
     */
    public FaultDesk onceAnswered(final String kind, final Runnable effect) {
        mLateEffects.put(kind, effect);
        return this;
    }

    @Override
    public void handle(final Call call) throws IOException {
        final JsonNode body = call.json();
        final String kind = body.path("kind").asText();
        if (mEffects.containsKey(kind)) {
            mEffects.get(kind).accept(body);
        } else if (mLateEffects.containsKey(kind)) {
            call.afterwards(mLateEffects.get(kind));
        } else {
            throw new IOException(
                    "kind is none of " + mEffects.keySet() + " " + mLateEffects.keySet());
        }
        call.reply(204);
    }
}
