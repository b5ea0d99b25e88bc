package org.whinhead.serving.speed;

import java.time.Duration;
import java.util.OptionalInt;

/**
 * Finds the number of requests in progress from which one endpoint is slower than its service's
 * typical endpoint at the same load, while it is not below.
 */
final class KneeFinder {

    /** Two bands for each doubling of the load, up to 180 requests. */
    private static final int BANDS = 16;

    private static final double BANDS_PER_DOUBLING = 2;

    /** The time in which the weight of a sample halves: loads change more slowly than speeds. */
    private static final Duration HALF_LIFE = Duration.ofSeconds(10);

    /** The least weight of samples on both sides of the knee. */
    private static final double MIN_WEIGHT = 5;

    /** The least difference of the times on both sides: a factor of 1.4. */
    private static final double MIN_DIFFERENCE = Math.log(1.4);

    private final DecayedMean[] mBands = new DecayedMean[BANDS];

    KneeFinder() {
        for (int band = 0; band < BANDS; band++) {
            mBands[band] = new DecayedMean(HALF_LIFE);
        }
    }

    private static int band(final int running) {
        final double doublings = Math.log(Math.max(running, 1)) / Math.log(2);
        return Math.min((int) Math.round(doublings * BANDS_PER_DOUBLING), BANDS - 1);
    }

    void add(final double deviation, final double weight, final int running, final long nowMillis) {
        mBands[band(running)].add(deviation, weight, nowMillis);
    }

    /** Returns the load between two bands that differ most in their times on both sides of it. */
    OptionalInt knee(final long nowMillis) {
        double totalWeight = 0;
        double totalSum = 0;
        for (final DecayedMean band : mBands) {
            totalWeight += band.weight(nowMillis);
            totalSum += band.weight(nowMillis) * band.mean();
        }
        double most = MIN_DIFFERENCE;
        int first = 0;
        double weight = 0;
        double sum = 0;
        for (int band = 1; band < BANDS; band++) {
            weight += mBands[band - 1].weight(nowMillis);
            sum += mBands[band - 1].weight(nowMillis) * mBands[band - 1].mean();
            final double above = totalWeight - weight;
            if (weight < MIN_WEIGHT || above < MIN_WEIGHT) {
                continue;
            }
            final double difference = (totalSum - sum) / above - sum / weight;
            if (difference > most) {
                most = difference;
                first = band;
            }
        }
        return first == 0
                ? OptionalInt.empty()
                : OptionalInt.of((int) Math.round(Math.pow(2, (first - 0.5) / BANDS_PER_DOUBLING)));
    }
}
