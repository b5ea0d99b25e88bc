package org.whinhead.serving.stream;

import java.time.Duration;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * A stream that has begun, as daemons tell each other.
 *
 * @param key identifies the stream
 * @param origin where it began
 * @param keptFor the time for which its caller may resume it
 */
public record StreamRecord(StreamKey key, StreamOrigin origin, Duration keptFor) {

    /** Checks the components. */
    public StreamRecord {
        Objects.requireNonNull(key, "key");
        Objects.requireNonNull(origin, "origin");
        Arguments.requirePositive(keptFor, "keptFor");
    }
}
