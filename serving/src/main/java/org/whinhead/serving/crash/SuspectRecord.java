package org.whinhead.serving.crash;

import java.time.Duration;
import java.util.Objects;
import java.util.Set;
import org.whinhead.api.Arguments;

/**
 * A suspected feature as a daemon remembers it, for daemons that have missed its crashes.
 *
 * @param feature the feature
 * @param level the number of crashes that count, see {@link CrashSuspects}
 * @param keptFor the time for which it is remembered
 * @param companions the shapes of other features that may explain the last crash
 */
public record SuspectRecord(
        RequestFeature feature, int level, Duration keptFor, Set<Integer> companions) {

    /** Checks the components. */
    public SuspectRecord {
        Objects.requireNonNull(feature, "feature");
        Arguments.requireAtLeast(level, 1, "level");
        Objects.requireNonNull(keptFor, "keptFor");
        companions = Set.copyOf(companions);
    }
}
