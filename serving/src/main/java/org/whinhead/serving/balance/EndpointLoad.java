package org.whinhead.serving.balance;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/** What this daemon knows of one endpoint's load and failures. */
public final class EndpointLoad {

    /** Weight of the newest outcome in the failure share: about the last ten requests count. */
    private static final double FAILURE_WEIGHT = 0.1;

    /** The first time without new work after a connection could not be made. */
    private static final Duration FIRST_BACKOFF = Duration.ofMillis(300);

    /** The longest time without new work: an endpoint that is back is found within it. */
    private static final Duration LONGEST_BACKOFF = Duration.ofSeconds(2);

    private final PrefixCacheModel mPrefixCache;
    private final Map<String, PeerLoad> mPeers = new HashMap<>();
    private int mRunning;
    private long mPromptTokens;
    private double mFailureShare;
    private int mUnreachableCount;
    private Instant mAvailableAt = Instant.EPOCH;

    EndpointLoad(final long prefixCapacity) {
        mPrefixCache = new PrefixCacheModel(prefixCapacity);
    }

    void recordStart(final Work work, final int unreadTokens) {
        mRunning++;
        mPromptTokens += unreadTokens;
        mPrefixCache.add(work);
    }

    void recordPrefill(final int unreadTokens) {
        mPromptTokens -= unreadTokens;
    }

    void recordEnd() {
        mRunning--;
    }

    void updatePeer(final String daemon, final int running, final long promptTokens) {
        mPeers.put(daemon, new PeerLoad(running, promptTokens));
    }

    void forgetPeer(final String daemon) {
        mPeers.remove(daemon);
    }

    /**
     * Notes an outcome that tells of the endpoint's health.
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
     * Notes that no connection could be made, or that one broke without an answer.
     *
     * @param now the time
     */
    public void recordUnreachable(final Instant now) {
        final long doubled = FIRST_BACKOFF.toMillis() << Math.min(mUnreachableCount, 3);
        mUnreachableCount++;
        mAvailableAt = now.plusMillis(Math.min(doubled, LONGEST_BACKOFF.toMillis()));
        recordOutcome(true);
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

    int running() {
        return mRunning + mPeers.values().stream().mapToInt(PeerLoad::running).sum();
    }

    long promptTokens() {
        return mPromptTokens + mPeers.values().stream().mapToLong(PeerLoad::promptTokens).sum();
    }

    double failureShare() {
        return mFailureShare;
    }

    int cachedTokens(final Work work) {
        return mPrefixCache.cachedTokens(work);
    }

    private record PeerLoad(int running, long promptTokens) {}
}
