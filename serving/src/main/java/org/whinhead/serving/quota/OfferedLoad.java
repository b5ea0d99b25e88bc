package org.whinhead.serving.quota;

import java.util.HashMap;
import java.util.Map;

/**
 * What callers ask of all daemons within their allowances, as far as this one has heard: the demand
 * by which endpoints are ordered.
 *
 * <p>What this daemon admitted and could not serve counts, though it was given back: a demand that
 * fell as endpoints are lost would order no others.
 */
public final class OfferedLoad {

    private final Map<String, Long> mPeerTokens = new HashMap<>();
    private long mFleetTokens;
    private long mOwnTokens;
    private double mOwnOfferedTokens;
    private double mOwnSquaredTokens;

    /** Counts a request that this daemon has admitted. */
    void recordAdmitted(final long tokens) {
        mFleetTokens += tokens;
        mOwnTokens += tokens;
        mOwnOfferedTokens += tokens;
        mOwnSquaredTokens += (double) tokens * tokens;
    }

    /** Counts a request that did not run; the other daemons are told less. */
    void recordRefunded(final long tokens) {
        mOwnTokens -= tokens;
    }

    /**
     * Takes another daemon's count.
     *
     * @param daemon its incarnation
     * @param tokens what it has admitted since it started, less what did not run
     */
    public void updatePeer(final String daemon, final long tokens) {
        final Long before = mPeerTokens.put(daemon, tokens);
        if (before != null) {
            mFleetTokens += Math.max(tokens - before, 0);
        }
    }

    /**
     * Returns what this daemon tells the others.
     *
     * @return tokens admitted since it started, less what did not run
     */
    public long ownTokens() {
        return mOwnTokens;
    }

    /**
     * Sums the demand.
     *
     * @return tokens since this daemon started
     */
    public long fleetTokens() {
        return mFleetTokens;
    }

    /**
     * Tells how large the requests are that make up the demand: the size of the one to which a
     * token belongs on average.
     *
     * @return tokens; 0 as long as this daemon has admitted none
     */
    public double meanRequestTokens() {
        return mOwnOfferedTokens == 0 ? 0 : mOwnSquaredTokens / mOwnOfferedTokens;
    }
}
