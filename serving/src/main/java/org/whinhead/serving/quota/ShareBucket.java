package org.whinhead.serving.quota;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Tokens of one share of a customer's allowance, at the daemon that holds the share.
 *
 * <p>Issued tokens count as spent when they expire. So however tokens are issued, returned and
 * issued again, no window admits more than the capacity, its inflow and one overdraft.
 */
final class ShareBucket {

    /** How long issued tokens may be spent and occupy capacity of the bucket. */
    static final Duration TOKEN_VALIDITY = Duration.ofMillis(500);

    /** How long a rejected claim reserves tokens against smaller claims. */
    private static final Duration RESERVATION_TIME = Duration.ofMillis(500);

    /** The largest reservation, as a fraction of the capacity. */
    private static final double MAX_RESERVED_FRACTION = 3.0 / 4;

    /** How long a forecast is used: it walks all steps of a window, and a flood asks for many. */
    private static final Duration GAIN_VALIDITY = Duration.ofMillis(100);

    private final Map<IssueKey, Issue> mIssued = new LinkedHashMap<>();
    private final IssueHistory mHistory;
    private Instant mGainAt = Instant.EPOCH;
    private double mGainPerSecond;
    private ShareLimits mLimits;
    private long mReservedClaimTokens;
    private double mReservedTokens;
    private Instant mReservedUntil = Instant.EPOCH;
    private IssueKey mReservedFor;

    private ShareBucket(final ShareLimits limits, final Instant at) {
        mLimits = limits;
        mHistory = new IssueHistory(at);
    }

    /**
     * Creates a bucket with the lowest level that the previous process can have left, plus the
     * restart credit.
     *
     * <p>A restarted daemon doesn't know the tokens issued by the previous process and assumes the
     * worst case. No tokens of the share were issued since its own process started. The credit
     * serves the callers that have waited for the restart.
     */
    static ShareBucket restarted(final ShareLimits limits, final Instant at) {
        final ShareBucket bucket = new ShareBucket(limits, at);
        final double level = limits.restartCredit() - limits.maxDebt();
        bucket.mHistory.add(limits.capacityTokens() - level, at);
        return bucket;
    }

    /** Creates a full bucket, for a customer that was not served before. */
    static ShareBucket full(final ShareLimits limits, final Instant at) {
        return new ShareBucket(limits, at);
    }

    /** Returns whether no window that ends now or later contains issued tokens. */
    boolean isUnused(final Instant now) {
        dropExpired(now);
        return mHistory.isEmpty();
    }

    void setLimits(final ShareLimits limits, final Instant now) {
        dropExpired(now);
        mGainAt = Instant.EPOCH;
        mHistory.rescale(limits.windowTokens() / mLimits.windowTokens());
        mLimits = limits;
    }

    /** Issues all tokens of a claim if the share has enough. */
    boolean issue(final IssueKey key, final long tokens, final boolean light, final Instant now) {
        return issue(key, new ClaimPart(tokens, tokens), light, now);
    }

    /** Issues tokens if the share has enough; a repeated request is not issued again. */
    boolean issue(
            final IssueKey key, final ClaimPart part, final boolean light, final Instant now) {
        dropExpired(now);
        final long tokens = part.tokens();
        if (!hasTokens(light ? tokens : requiredTokens(part, now), light, now)) {
            reserve(key, part, light, now);
            return false;
        }
        if (mIssued.containsKey(key)) {
            return false;
        }
        if (part.claimTokens() >= mReservedClaimTokens) {
            releaseReservation();
        }
        final Instant expiresAt = now.plus(TOKEN_VALIDITY);
        mIssued.put(key, new Issue(tokens, expiresAt, mHistory.add(tokens, expiresAt)));
        return true;
    }

    private void releaseReservation() {
        mReservedClaimTokens = 0;
        mReservedFor = null;
    }

    private boolean hasTokens(final double tokens, final boolean light, final Instant now) {
        return level(now) >= mLimits.requiredLevel(tokens, light);
    }

    /**
     * Returns the tokens that the share must have to serve a part. Smaller claims leave so many
     * that the part of a waiting claim can be issued afterwards.
     */
    private double requiredTokens(final ClaimPart part, final Instant now) {
        final long reservedClaim = reservedClaimTokens(now);
        if (part.claimTokens() >= reservedClaim) {
            return part.tokens();
        }
        return part.tokens()
                + mLimits.requiredLevel(mReservedTokens, false)
                - mLimits.minLevelAfter(false);
    }

    /** Returns the size of the largest recently rejected claim, in tokens; 0 if there is none. */
    private long reservedClaimTokens(final Instant now) {
        return now.isBefore(mReservedUntil) ? mReservedClaimTokens : 0;
    }

    /**
     * Reserves tokens for a rejected claim: otherwise the small requests of a customer over its
     * allowance would take every new token. Whole claims are compared, as parts of a large one are
     * no larger than others, and an even part is reserved, as every share that it asks does so.
     */
    private void reserve(
            final IssueKey key, final ClaimPart part, final boolean light, final Instant now) {
        if (!light && part.claimTokens() >= reservedClaimTokens(now)) {
            mReservedClaimTokens = part.claimTokens();
            mReservedTokens =
                    Math.min(
                            (double) part.claimTokens() / ShareLimits.SHARES,
                            MAX_RESERVED_FRACTION * mLimits.capacityTokens());
            mReservedFor = key;
            mReservedUntil = now.plus(RESERVATION_TIME);
        }
    }

    /**
     * Ends a request that is no longer needed: puts its issued tokens, which must not have been
     * spent, back into the share, or releases what was reserved when it was rejected.
     */
    void returnTokens(final IssueKey key, final Instant now) {
        dropExpired(now);
        if (key.equals(mReservedFor)) {
            releaseReservation();
        }
        final Issue issue = mIssued.remove(key);
        if (issue != null) {
            mHistory.remove(issue.mStep, issue.mTokens);
        }
    }

    double level(final Instant now) {
        return mHistory.level(mLimits, now);
    }

    /** Returns the fastest rise of the level within the forecast time if nothing is issued. */
    double gainPerSecond(final Instant now) {
        if (now.isBefore(mGainAt) || !now.isBefore(mGainAt.plus(GAIN_VALIDITY))) {
            mGainPerSecond = mHistory.gainPerSecond(mLimits, now);
            mGainAt = now;
        }
        return mGainPerSecond;
    }

    private void dropExpired(final Instant now) {
        final Iterator<Issue> oldestFirst = mIssued.values().iterator();
        while (oldestFirst.hasNext() && oldestFirst.next().mExpiresAt.isBefore(now)) {
            oldestFirst.remove();
        }
        mHistory.dropBefore(now.minus(mLimits.window()));
    }

    /**
     * The part of a claim that is requested from this share.
     *
     * @param tokens the tokens requested from this share
     * @param claimTokens the tokens that the claim needs from all shares
     */
    record ClaimPart(long tokens, long claimTokens) {}

    /** Identifies a request by its daemon incarnation and its id. */
    record IssueKey(String claimant, long requestId) {}

    private static final class Issue {
        private final long mTokens;
        private final Instant mExpiresAt;
        private final IssueHistory.Step mStep;

        private Issue(final long tokens, final Instant expiresAt, final IssueHistory.Step step) {
            mTokens = tokens;
            mExpiresAt = expiresAt;
            mStep = step;
        }
    }
}
