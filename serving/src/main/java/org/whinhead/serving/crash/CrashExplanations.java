package org.whinhead.serving.crash;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

/** Finds out which of the features that were lost in a crash may be to blame for it. */
final class CrashExplanations {

    private final SuspectTable mTable;
    private final CrashEvents mEvents;

    CrashExplanations(final SuspectTable table, final CrashEvents events) {
        mTable = table;
        mEvents = events;
    }

    /** Returns whether a request is refused for one of its features. */
    boolean isBlocked(final Suspect suspect, final Collection<RequestFeature> features) {
        return suspect.level() >= CrashSuspects.BLOCKED_LEVEL
                && !suspect.isSoundApart()
                && !isExplainedWithout(suspect, features);
    }

    /**
     * Returns whether each crash that counts against a feature can be explained by another feature
     * whose requests are refused, and that a request doesn't have.
     */
    boolean isExplainedWithout(final Suspect suspect, final Collection<RequestFeature> features) {
        final Set<Integer> own = new HashSet<>();
        features.forEach(feature -> own.add(feature.shape()));
        final List<Set<Integer>> crashes = new ArrayList<>();
        suspect.crashes().forEach(crash -> crashes.add(mEvents.shapes(crash)));
        if (crashes.isEmpty()) {
            crashes.add(suspect.companions());
        }
        return crashes.stream().allMatch(shapes -> hasOtherBlocked(shapes, own));
    }

    private boolean hasOtherBlocked(final Set<Integer> shapes, final Set<Integer> own) {
        return shapes.stream().anyMatch(shape -> !own.contains(shape) && mTable.isBlocked(shape));
    }

    /** Returns the features that may explain the last crash that counts against another one. */
    Set<Integer> companions(final Suspect suspect) {
        Set<Integer> shapes = suspect.companions();
        for (final long crash : suspect.crashes()) {
            shapes = mEvents.shapes(crash);
        }
        return shapes.stream().filter(mTable::isBlocked).collect(Collectors.toSet());
    }
}
