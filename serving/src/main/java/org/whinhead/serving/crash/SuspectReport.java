package org.whinhead.serving.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.whinhead.api.Arguments;

/** Selects the suspected features of which this daemon tells others regularly, in turn. */
final class SuspectReport {

    private final SuspectTable mTable;
    private final CrashExplanations mExplanations;
    private int mRank;
    private int mReported;

    SuspectReport(final SuspectTable table, final CrashExplanations explanations) {
        mTable = table;
        mExplanations = explanations;
    }

    void setRank(final int rank) {
        Arguments.requireAtLeast(rank, 0, "rank");
        mRank = rank;
    }

    /** Returns the next features from the guarded level on. */
    List<SuspectRecord> next(final int most, final Instant now) {
        final List<SuspectRecord> all = new ArrayList<>();
        mTable.forEach(
                (feature, suspect) -> {
                    final Duration left = Duration.between(now, suspect.keptUntil());
                    final boolean isTold =
                            suspect.level() >= CrashSuspects.GUARDED_LEVEL
                                    && !suspect.isSoundApart();
                    if (isTold && !left.isNegative()) {
                        all.add(
                                new SuspectRecord(
                                        feature,
                                        suspect.level(),
                                        left,
                                        mExplanations.companions(suspect)));
                    }
                });
        if (all.size() <= most) {
            return all;
        }
        final List<SuspectRecord> next = new ArrayList<>();
        // Daemons know the same features in the same order: each begins with others of them.
        final int first = mRank * most;
        for (int index = 0; index < most; index++) {
            next.add(all.get(Math.floorMod(first + mReported++, all.size())));
        }
        return next;
    }
}
