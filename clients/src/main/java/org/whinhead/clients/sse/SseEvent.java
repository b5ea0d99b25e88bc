package org.whinhead.clients.sse;

import java.util.Objects;

/**
 * A server-sent event.
 *
 * @param id the event's id; empty if it has none
 * @param name the event's name; empty if it has none
 * @param data the event's data lines, joined by line feeds
 */
public record SseEvent(String id, String name, String data) {

    /** Validates that no component is null. */
    public SseEvent {
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(data, "data");
    }
}
