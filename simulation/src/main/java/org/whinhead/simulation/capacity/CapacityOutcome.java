package org.whinhead.simulation.capacity;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * The result of a simulated day.
 *
 * @param wholeDay the share of the demanded tokens that was served; late answers count a tenth
 * @param worstWindows the mean of the same share over the two worst windows of two seconds
 * @param endpointSeconds the cost, in seconds of an on-demand endpoint of price 1
 * @param paidPerNeeded the cost per endpoint second that the demand needs at least
 */
public record CapacityOutcome(
        double wholeDay, double worstWindows, double endpointSeconds, double paidPerNeeded) {

    /** The users' weights of the whole day and of its worst windows. */
    private static final double WHOLE_DAY_WEIGHT = 0.65;

    private static final double WORST_WINDOWS_WEIGHT = 0.35;

    /**
     * The cost of one needed on-demand endpoint for a whole day, as a share of the day's value;
     * from the price lists of two customers (0.095 and 0.11).
     */
    private static final double COST_WEIGHT = 0.1;

    private static final double LATE_ANSWER_VALUE = 0.1;
    private static final int WORST_WINDOW_COUNT = 2;

    /**
     * Returns the score by which policies are compared.
     *
     * @return the weighted served shares minus the weighted cost
     */
    public double score() {
        return WHOLE_DAY_WEIGHT * wholeDay
                + WORST_WINDOWS_WEIGHT * worstWindows
                - COST_WEIGHT * paidPerNeeded;
    }

    /** Accumulates the served tokens and the cost of a day. */
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
            double offered = 0;
            final List<Double> shares = new ArrayList<>();
            for (int index = 0; index < mOfferedTokens.length; index++) {
                earned += mEarnedTokens[index];
                offered += mOfferedTokens[index];
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
                    earned / offered, worst, mEndpointSeconds, mEndpointSeconds / neededSeconds);
        }
    }
}
