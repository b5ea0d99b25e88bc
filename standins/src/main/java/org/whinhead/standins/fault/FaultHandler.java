package org.whinhead.standins.fault;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.whinhead.standins.http.CallHandler;
import org.whinhead.standins.http.StandInCall;
import org.whinhead.standins.http.StandInServer;

/**
 * Handles {@code POST /faults}; the body's {@code kind} names the fault, other fields set it up.
 */
public final class FaultHandler implements CallHandler {

    private final Map<String, Consumer<JsonNode>> mEffects = new TreeMap<>();
    private final Map<String, Runnable> mEffectsAfterReply = new TreeMap<>();

    /** Creates a handler with the fault {@code delay}, whose field is {@code delayMillis}. */
    public FaultHandler(final StandInServer server) {
        addFault(
                "delay",
                body -> server.setDelay(Duration.ofMillis(body.path("delayMillis").asLong())));
    }

    /**
     * Adds a fault.
     *
     * @param kind the fault's name
     * @param effect receives the command's body
     * @return this handler
     */
    public FaultHandler addFault(final String kind, final Consumer<JsonNode> effect) {
        mEffects.put(kind, effect);
        return this;
    }

    /**
     * Adds a fault that stops the server, and therefore starts after the reply to the command.
     *
     * @param kind the fault's name
     * @param effect starts the fault
     * @return this handler
     */
    public FaultHandler addFaultAfterReply(final String kind, final Runnable effect) {
        mEffectsAfterReply.put(kind, effect);
        return this;
    }

    @Override
    public void handle(final StandInCall call) throws IOException {
        final JsonNode body = call.json();
        final String kind = body.path("kind").asText();
        if (mEffects.containsKey(kind)) {
            mEffects.get(kind).accept(body);
        } else if (mEffectsAfterReply.containsKey(kind)) {
            call.runAfterReply(mEffectsAfterReply.get(kind));
        } else {
            throw new IOException(
                    "kind is none of " + mEffects.keySet() + " " + mEffectsAfterReply.keySet());
        }
        call.reply(204);
    }
}
