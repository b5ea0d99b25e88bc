package org.whinhead.fleet;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import org.whinhead.api.Arguments;

/**
 * Exponential backoff per supply after refused VM starts.
 *
 * <p>Guards against repeated requests to a sold-out domain while another one has capacity: the
 * fleet would lack VMs that are available elsewhere. During the backoff of a supply, plans count
 * only its existing VMs; after the backoff, starts are tried again.
 */
public final class StartBackoff {

    private static final int MAX_DOUBLINGS = 6;

    private final Duration mFirstBackoff;
    private final Map<Supply, Backoff> mBackoffs = new HashMap<>();

    private record Backoff(Instant until, int refusals) {}

    /**
     * Creates an instance without any refusals.
     *
     * @param firstBackoff the backoff after a first refusal; doubles with each further consecutive
     *     one
     */
    public StartBackoff(final Duration firstBackoff) {
        mFirstBackoff = Arguments.requirePositive(firstBackoff, "firstRest");
    }

    /**
     * Records that the cloud refused to start a VM.
     *
     * @param supply the supply of the VM
     * @param now the current time
     */
    public void recordRefusal(final Supply supply, final Instant now) {
        final Backoff last = mBackoffs.get(supply);
        final int refusals = last == null ? 1 : last.refusals() + 1;
        final int doublings = Math.min(refusals - 1, MAX_DOUBLINGS);
        final Instant until = now.plus(mFirstBackoff.multipliedBy(1L << doublings));
        mBackoffs.put(supply, new Backoff(until, refusals));
    }

    /**
     * Ends the backoff of a supply after the cloud started a VM.
     *
     * @param supply the supply of the VM
     */
    public void reset(final Supply supply) {
        mBackoffs.remove(supply);
    }

    /**
     * Returns whether a supply is in backoff.
     *
     * @param supply the supply
     * @param now the current time
     * @return true if no VM of the supply should be started now
     */
    public boolean isBackingOff(final Supply supply, final Instant now) {
        final Backoff backoff = mBackoffs.get(supply);
        return backoff != null && now.isBefore(backoff.until());
    }
}
