package org.whinhead.standins.load.caller;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * One server-sent event.
 *
 * @param name the event's name; empty for the default
 * @param id the event's id, if it has a numeric one
 * @param data the data lines, joined
 */
record SseEvent(String name, OptionalLong id, String data) {

    /** Checks every part. */
    SseEvent {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(data, "data");
    }
}
