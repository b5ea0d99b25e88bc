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
    private static final double WHOLE_WEIGHT = 0.65;

    private static final double WORST_WEIGHT = 0.35;

    /**
     * What one needed endpoint costs for a whole day on demand, as a part of what the day is worth;
     * from the price lists of two customers (0.095 and 0.11).
     */
    private static final double PRICE_WEIGHT = 0.1;

    private static final double LATE_WORTH = 0.1;
    private static final int WORST = 2;

    /**
     * Returns one figure to compare policies by.
     *
     * @return the weighed service less what was paid
     */
    public double value() {
        return WHOLE_WEIGHT * wholeDay + WORST_WEIGHT * worstWindows - PRICE_WEIGHT * paidPerNeeded;
    }

    /** Collects the seconds of a day. */
    static final class Collector {
        private final double[] mEarned;
        private final double[] mOwed;
        private double mPaid;

        Collector(final int windows) {
            mEarned = new double[windows];
            mOwed = new double[windows];
        }

        void paid(final double endpointSeconds) {
            mPaid += endpointSeconds;
        }

        void served(final int window, final SimulatedQueue.Served served) {
            final int index = Math.min(window, mOwed.length - 1);
            mEarned[index] += served.inTime() + LATE_WORTH * served.late();
            mOwed[index] += served.inTime() + served.late() + served.lost();
        }

        CapacityOutcome outcome(final double neededSeconds) {
            double earned = 0;
            double owed = 0;
            final List<Double> shares = new ArrayList<>();
            for (int index = 0; index < mOwed.length; index++) {
                earned += mEarned[index];
                owed += mOwed[index];
                shares.add(mOwed[index] == 0 ? 0 : mEarned[index] / mOwed[index]);
            }
            Collections.sort(shares);
            final double worst =
                    shares.stream().limit(WORST).mapToDouble(share -> share).sum() / WORST;
            return new CapacityOutcome(earned / owed, worst, mPaid, mPaid / neededSeconds);
        }
    }
}
