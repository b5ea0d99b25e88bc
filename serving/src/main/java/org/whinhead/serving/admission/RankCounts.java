package org.whinhead.serving.admission;

import java.util.Arrays;
import java.util.List;
import java.util.stream.IntStream;

/** Immutable numbers of requests by rank, 0 the most urgent one. */
public final class RankCounts {

    /** The ranks that are told apart; all less urgent ones count as the last. */
    public static final int RANKS = 8;

    /** No requests. */
    public static final RankCounts NONE = new RankCounts(new int[RANKS]);

    private final int[] mCounts;

    private RankCounts(final int[] counts) {
        mCounts = counts;
    }

    /**
     * Creates numbers from those of the most urgent ranks.
     *
     * @param counts the numbers, rank 0 first; ranks beyond the last one have none
     * @return the numbers; negative ones count as none
     */
    public static RankCounts of(final List<Integer> counts) {
        final int[] copy = new int[RANKS];
        for (int rank = 0; rank < Math.min(counts.size(), RANKS); rank++) {
            copy[rank] = Math.max(counts.get(rank), 0);
        }
        return new RankCounts(copy);
    }

    /**
     * Returns the index of a rank.
     *
     * @param rank any rank
     * @return the rank among those that are told apart
     */
    static int index(final int rank) {
        return Math.min(Math.max(rank, 0), RANKS - 1);
    }

    /**
     * Adds other numbers.
     *
     * @param other the other numbers
     * @return the sums
     */
    public RankCounts plus(final RankCounts other) {
        return combined(other, 1);
    }

    RankCounts minus(final RankCounts other) {
        return combined(other, -1);
    }

    private RankCounts combined(final RankCounts other, final int sign) {
        final int[] sums = new int[RANKS];
        Arrays.setAll(sums, rank -> Math.max(mCounts[rank] + sign * other.mCounts[rank], 0));
        return new RankCounts(sums);
    }

    /** Returns these numbers with one request more, or less, of a rank. */
    RankCounts changed(final int rank, final int change) {
        final int[] changed = mCounts.clone();
        changed[index(rank)] = Math.max(changed[index(rank)] + change, 0);
        return new RankCounts(changed);
    }

    /**
     * Returns the number of all requests.
     *
     * @return the sum over the ranks
     */
    public int total() {
        return sum(0, RANKS);
    }

    /**
     * Returns the number of requests more urgent than a rank.
     *
     * @param rank the rank
     * @return the sum over the ranks before it
     */
    public int moreUrgentThan(final int rank) {
        return sum(0, index(rank));
    }

    /**
     * Returns the number of requests less urgent than a rank.
     *
     * @param rank the rank
     * @return the sum over the ranks after it
     */
    public int lessUrgentThan(final int rank) {
        return sum(index(rank) + 1, RANKS);
    }

    private int sum(final int from, final int until) {
        int sum = 0;
        for (int rank = from; rank < until; rank++) {
            sum += mCounts[rank];
        }
        return sum;
    }

    /**
     * Returns the numbers up to the last rank that has requests.
     *
     * @return the numbers, rank 0 first; empty without requests
     */
    public List<Integer> toList() {
        int last = RANKS;
        while (last > 0 && mCounts[last - 1] == 0) {
            last--;
        }
        return IntStream.range(0, last).mapToObj(rank -> mCounts[rank]).toList();
    }
}
