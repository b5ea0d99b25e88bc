package org.whinhead.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.whinhead.api.Arguments;

/**
 * Remembers which supplies the cloud refused, for longer with each refusal in a row.
 *
 * <p>Guards against asking a sold-out domain over and over while another could deliver: the fleet
 * stays short although VMs are to be had elsewhere. While a supply rests, plans count only the VMs
 * that it already gave; after the rest it is tried again.
 */
public final class StartBackoff {

    private static final int MOST_DOUBLINGS = 6;

    private final Duration mFirstRest;
    private final Map<Supply, Rest> mRests = new HashMap<>();

    private record Rest(Instant until, int refusals) {}

    /**
     * Makes an empty memory.
     *
     * @param firstRest how long a supply rests after a first refusal; doubles with each further one
     */
    public StartBackoff(final Duration firstRest) {
        mFirstRest = Arguments.requirePositive(firstRest, "firstRest");
    }

    /**
     * The cloud refused a start.
     *
     * @param supply what was asked for
     * @param now the time
     */
    public void recordRefusal(final Supply supply, final Instant now) {
        final Rest last = mRests.get(supply);
        final int refusals = last == null ? 1 : last.refusals() + 1;
        final int doublings = Math.min(refusals - 1, MOST_DOUBLINGS);
        final Instant until = now.plus(mFirstRest.multipliedBy(1L << doublings));
        mRests.put(supply, new Rest(until, refusals));
    }

    /**
     * The cloud started a VM.
     *
     * @param supply what was asked for
     */
    public void reset(final Supply supply) {
        mRests.remove(supply);
    }

    /**
     * Tells whether a supply rests.
     *
     * @param supply the supply
     * @param now the time
     * @return true if it should not be asked for now
     */
    public boolean isBackingOff(final Supply supply, final Instant now) {
        final Rest rest = mRests.get(supply);
        return rest != null && now.isBefore(rest.until());
    }
}
