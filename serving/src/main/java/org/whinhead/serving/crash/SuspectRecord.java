package org.whinhead.serving.crash;

import java.time.Duration;
import java.util.Objects;
import org.whinhead.api.Arguments;

/**
 * A suspected request as a daemon remembers it, for daemons that have missed its crashes.
 *
 * @param identity the request
 * @param level the number of crashes that count, see {@link CrashSuspects}
 * @param keptFor the time for which it is remembered
 */
public record SuspectRecord(RequestIdentity identity, int level, Duration keptFor) {

    /** Checks the components. */
    public SuspectRecord {
        Objects.requireNonNull(identity, "identity");
        Arguments.requireAtLeast(level, 1, "level");
        Objects.requireNonNull(keptFor, "keptFor");
    }
}
