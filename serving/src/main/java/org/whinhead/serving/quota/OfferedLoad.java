package org.whinhead.serving.quota;

import java.util.HashMap;
import java.util.Map;

/**
 * Counts the tokens that all daemons have admitted, as far as this one has received their reports.
 * Endpoints are ordered by this load.
 *
 * <p>Tokens that this daemon admitted and refunded stay counted in its view: otherwise the load
 * would fall when endpoints are lost, and no replacements would be ordered.
 */
public final class OfferedLoad {

    private final Map<String, Long> mPeerTokens = new HashMap<>();
    private long mFleetTokens;
    private long mOwnTokens;
    private double mOwnOfferedTokens;
    private double mOwnSquaredTokens;

    /** Counts a request that this daemon has admitted, by its tokens. */
    void recordAdmitted(final long tokens) {
        mFleetTokens += tokens;
        mOwnTokens += tokens;
        mOwnOfferedTokens += tokens;
        mOwnSquaredTokens += (double) tokens * tokens;
    }

    /** Subtracts a request that did not run from the count reported to other daemons. */
    void recordRefunded(final long tokens) {
        mOwnTokens -= tokens;
    }

    /**
     * Updates the count of another daemon.
     *
     * @param daemon the incarnation of the daemon
     * @param tokens the tokens it has admitted since its start, less those refunded
     */
    public void updatePeer(final String daemon, final long tokens) {
        final Long before = mPeerTokens.put(daemon, tokens);
        if (before != null) {
            mFleetTokens += Math.max(tokens - before, 0);
        }
    }

    /**
     * Returns the count that this daemon reports to the others.
     *
     * @return the tokens admitted since its start, less those refunded
     */
    public long ownTokens() {
        return mOwnTokens;
    }

    /**
     * Returns the load of all daemons.
     *
     * @return the tokens offered since the start of this daemon
     */
    public long fleetTokens() {
        return mFleetTokens;
    }

    /**
     * Returns the mean size of this daemon's requests, weighted by their tokens.
     *
     * @return the mean, in tokens; 0 before the first admitted request
     */
    public double meanRequestTokens() {
        return mOwnOfferedTokens == 0 ? 0 : mOwnSquaredTokens / mOwnOfferedTokens;
    }
}
