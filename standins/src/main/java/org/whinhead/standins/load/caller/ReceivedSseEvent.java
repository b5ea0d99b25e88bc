package org.whinhead.standins.load.caller;

import java.util.Objects;
import java.util.OptionalLong;

/**
 * One server-sent event.
 *
 * @param name the event's name; empty for the default
 * @param id the event's id, if it is numeric
 * @param data the data lines, joined by line feeds
 */
record ReceivedSseEvent(String name, OptionalLong id, String data) {

    /** Checks that no component is null. */
    ReceivedSseEvent {
        Objects.requireNonNull(name, "name");
        Objects.requireNonNull(id, "id");
        Objects.requireNonNull(data, "data");
    }
}
