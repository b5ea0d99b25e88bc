package org.whinhead.simulation.capacity;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * What a simulated day came to.
 *
 * @param wholeDay the part of the demand's worth that was earned; late answers earn a tenth
 * @param worstWindows the same over the two worst spans of two seconds
 * @param endpointSeconds what was paid, in seconds of an endpoint on demand at the price of 1
 * @param paidPerNeeded the same for each endpoint second that the demand needs at the least
 */
public record CapacityOutcome(
        double wholeDay, double worstWindows, double endpointSeconds, double paidPerNeeded) {

    /** What the users weigh the whole day and its worst seconds by. */
    private static final double WHOLE_DAY_WEIGHT = 0.65;

    private static final double WORST_WINDOWS_WEIGHT = 0.35;

    /**
     * What one needed endpoint costs for a whole day on demand, as a part of what the day is worth;
     * from the price lists of two customers (0.095 and 0.11).
     */
    private static final double COST_WEIGHT = 0.1;

    private static final double LATE_ANSWER_VALUE = 0.1;
    private static final int WORST_WINDOW_COUNT = 2;

    /**
     * Returns one figure to compare policies by.
     *
     * @return the weighed service less what was paid
     */
    public double score() {
        return WHOLE_DAY_WEIGHT * wholeDay
                + WORST_WINDOWS_WEIGHT * worstWindows
                - COST_WEIGHT * paidPerNeeded;
    }

    /** Collects the seconds of a day. */
    static final class Collector {
        private final double[] mEarnedTokens;
        private final double[] mOfferedTokens;
        private double mEndpointSeconds;

        Collector(final int windows) {
            mEarnedTokens = new double[windows];
            mOfferedTokens = new double[windows];
        }

        void addCost(final double endpointSeconds) {
            mEndpointSeconds += endpointSeconds;
        }

        void addServed(final int window, final SimulatedQueue.ServedTokens served) {
            final int index = Math.min(window, mOfferedTokens.length - 1);
            mEarnedTokens[index] += served.inTime() + LATE_ANSWER_VALUE * served.late();
            mOfferedTokens[index] += served.inTime() + served.late() + served.lost();
        }

        CapacityOutcome outcome(final double neededSeconds) {
            double earned = 0;
            double owed = 0;
            final List<Double> shares = new ArrayList<>();
            for (int index = 0; index < mOfferedTokens.length; index++) {
                earned += mEarnedTokens[index];
                owed += mOfferedTokens[index];
                shares.add(
                        mOfferedTokens[index] == 0
                                ? 0
                                : mEarnedTokens[index] / mOfferedTokens[index]);
            }
            Collections.sort(shares);
            final double worst =
                    shares.stream().limit(WORST_WINDOW_COUNT).mapToDouble(share -> share).sum()
                            / WORST_WINDOW_COUNT;
            return new CapacityOutcome(
                    earned / owed, worst, mEndpointSeconds, mEndpointSeconds / neededSeconds);
        }
    }
}
