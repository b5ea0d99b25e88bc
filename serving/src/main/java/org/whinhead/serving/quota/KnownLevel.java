package org.whinhead.serving.quota;

import java.time.Duration;
import java.util.Objects;

/**
 * What a daemon knows of the level of one of a customer's shares.
 *
 * @param slot the slot of the share in the table
 * @param tokens the tokens in the share; negative if it is overdrawn
 * @param age the time since the holder reported the level
 */
public record KnownLevel(int slot, long tokens, Duration age) {

    /** Checks the components. */
    public KnownLevel {
        Objects.requireNonNull(age, "age");
    }

    /** Returns the slot, the tokens and the age in milliseconds, for log lines. */
    @Override
    public String toString() {
        return slot + ":" + tokens + "@" + age.toMillis() + "ms";
    }
}
