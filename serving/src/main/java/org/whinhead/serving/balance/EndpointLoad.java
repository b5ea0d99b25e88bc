package org.whinhead.serving.balance;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** The load and the failures of one endpoint, as far as this daemon knows. */
public final class EndpointLoad {

    /** The weight of the newest outcome in the failure share: about the last ten requests count. */
    private static final double FAILURE_WEIGHT = 0.1;

    /** The first backoff after a connection could not be made. */
    private static final Duration FIRST_BACKOFF = Duration.ofMillis(300);

    /** The longest backoff: a reachable endpoint is used again within it. */
    private static final Duration LONGEST_BACKOFF = Duration.ofSeconds(2);

    private final PrefixCacheModel mPrefixCache;
    private final Map<String, PeerLoad> mPeers = new HashMap<>();
    private int mPeersRunning;
    private long mPeersPromptTokens;
    private int mRunning;
    private long mPromptTokens;
    private double mFailureShare;
    private int mUnreachableCount;
    private Instant mAvailableAt = Instant.EPOCH;

    EndpointLoad(final long prefixCapacity) {
        mPrefixCache = new PrefixCacheModel(prefixCapacity);
    }

    void recordStart(final Work work, final int prefillTokens) {
        mRunning++;
        mPromptTokens += prefillTokens;
        mPrefixCache.add(work);
    }

    void recordPrefill(final int prefillTokens) {
        mPromptTokens -= prefillTokens;
    }

    void recordEnd() {
        mRunning--;
    }

    void updatePeer(final String daemon, final int running, final long promptTokens) {
        final PeerLoad previous = mPeers.put(daemon, new PeerLoad(running, promptTokens));
        mPeersRunning += running;
        mPeersPromptTokens += promptTokens;
        subtract(previous);
    }

    void forgetPeer(final String daemon) {
        subtract(mPeers.remove(daemon));
    }

    private void subtract(final PeerLoad previous) {
        if (previous != null) {
            mPeersRunning -= previous.running();
            mPeersPromptTokens -= previous.promptTokens();
        }
    }

    /**
     * Records an outcome that indicates the endpoint's health.
     *
     * @param failed whether the endpoint failed the request
     */
    public void recordOutcome(final boolean failed) {
        mFailureShare += FAILURE_WEIGHT * ((failed ? 1 : 0) - mFailureShare);
        if (!failed) {
            mUnreachableCount = 0;
            mAvailableAt = Instant.EPOCH;
        }
    }

    /**
     * Records that no connection could be made, or that one was lost without an answer.
     *
     * @param now the current time
     */
    public void recordUnreachable(final Instant now) {
        final long backoffMillis = FIRST_BACKOFF.toMillis() << Math.min(mUnreachableCount, 3);
        mUnreachableCount++;
        mAvailableAt = now.plusMillis(Math.min(backoffMillis, LONGEST_BACKOFF.toMillis()));
        recordOutcome(true);
    }

    /** Ends the backoff, as the connections failed on the way and not at the endpoint. */
    void clearUnreachable() {
        mUnreachableCount = 0;
        mAvailableAt = Instant.EPOCH;
    }

    boolean isAvailable(final Instant now) {
        return !now.isBefore(mAvailableAt);
    }

    public int ownRunning() {
        return mRunning;
    }

    public long ownPromptTokens() {
        return mPromptTokens;
    }

    /**
     * Returns the number of requests at the endpoint.
     *
     * @return those of this daemon, and those that other daemons last reported
     */
    public int running() {
        return mRunning + mPeersRunning;
    }

    long promptTokens() {
        return mPromptTokens + mPeersPromptTokens;
    }

    double failureShare() {
        return mFailureShare;
    }

    int cachedTokens(final Work work) {
        return mPrefixCache.cachedTokens(work);
    }

    private record PeerLoad(int running, long promptTokens) {}
}
