package org.whinhead.serving.capacity;

import org.whinhead.api.Arguments;

/**
 * How much capacity is kept for a demand.
 *
 * @param loadPart the part of what an endpoint can read that it should get at most; callers' shared
 *     prompts count, though many are cached
 * @param reserve reclaimable endpoints that are kept for each endpoint that the demand needs
 * @param survivingPart the part of the needed endpoints that must be left if any failure domain's
 *     reclaimable ones go now; more are ordered once they do
 * @param survivingPartInWave the same while a domain was reclaimed a short while ago. Reclaims come
 *     in waves: another domain goes within some six seconds, and nothing reclaimable is to be had
 *     until the wave is over
 */
public record CapacitySettings(
        double loadPart, double reserve, double survivingPart, double survivingPartInWave) {

    /**
     * What is kept for model services. Within a wave of reclaims all of the need is kept safe:
     * where all three domains went within nine seconds, and the last while nobody could order, that
     * earned 0.14 of the day more than a third; on days of two reclaims it costs 0.01. Keeping a
     * third of the need safe against the next reclaim, not all of it, in calm times earned 0.03 to
     * 0.09 of what is owed more on days with two reclaims: half of the endpoints on demand were not
     * needed. At 1.17 of what an engine reads a service that had lost all reclaimable endpoints
     * served 0.73 of what is owed, not 0.86.
     */
    public static final CapacitySettings USUAL = new CapacitySettings(0.78, 2.6, 0.34, 1);

    /** Checks the parts. */
    public CapacitySettings {
        if (!(loadPart > 0)) {
            throw new IllegalArgumentException("loadPart is no part: " + loadPart);
        }
        Arguments.requireAtLeast(Math.round(reserve), 1, "reserve");
        requirePart(survivingPart, "survivingPart");
        requirePart(survivingPartInWave, "survivingPartInWave");
    }

    private static void requirePart(final double part, final String name) {
        if (!(part >= 0 && part <= 1)) {
            throw new IllegalArgumentException(name + " is no part: " + part);
        }
    }
}
