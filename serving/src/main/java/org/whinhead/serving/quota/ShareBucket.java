package org.whinhead.serving.quota;

import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The tokens of one share of a customer's allowance, at the daemon that holds the share.
 *
 * <p>What was issued counts as held until it can no longer be spent. So whatever is issued, given
 * back and issued again, no window sees more than a full bucket, its inflow and one overdraft.
 */
final class ShareBucket {

    /** How long issued tokens may be spent; until then they take up room in the bucket. */
    static final Duration TOKEN_VALIDITY = Duration.ofMillis(500);

    /** How long a claim that was turned down holds smaller ones back. */
    private static final Duration RESERVATION_TIME = Duration.ofMillis(500);

    /** A claim that is larger than this part of a full share is not waited for. */
    private static final double MAX_RESERVED_FRACTION = 3.0 / 4;

    private final Map<IssueKey, Issue> mIssued = new LinkedHashMap<>();
    private ShareLimits mLimits;
    private double mLevel;
    private double mOutstanding;
    private Instant mRefilledAt;
    private long mReservedClaimTokens;
    private double mReservedTokens;
    private Instant mReservedUntil = Instant.EPOCH;

    private ShareBucket(final ShareLimits limits, final double level, final Instant at) {
        mLimits = limits;
        mLevel = level;
        mRefilledAt = at;
    }

    /**
     * Makes a bucket that is as empty as the one of the process before can have been, but for the
     * credit.
     *
     * <p>A daemon that comes back from a restart doesn't know what the process before had issued,
     * so it takes the worst. Since its own process started nobody has issued tokens of the share.
     * The credit serves the callers that have waited for the restart.
     */
    static ShareBucket restarted(final ShareLimits limits, final Instant at) {
        return new ShareBucket(limits, limits.restartCredit() - limits.maxDebt(), at);
    }

    /** Makes the bucket of a customer that was not served before. */
    static ShareBucket full(final ShareLimits limits, final Instant at) {
        return new ShareBucket(limits, limits.capacityTokens(), at);
    }

    boolean isUnusedSince(final Instant time) {
        return mRefilledAt.isBefore(time);
    }

    void setLimits(final ShareLimits limits, final Instant now) {
        refill(now);
        mLimits = limits;
        mLevel = Math.min(mLevel, limits.capacityTokens() - mOutstanding);
    }

    /** Issues all tokens of a claim if the share has them. */
    boolean issue(final IssueKey key, final long tokens, final boolean light, final Instant now) {
        return issue(key, new ClaimPart(tokens, tokens), light, now);
    }

    /** Issues tokens if the share has them; a repeated claim is not issued again. */
    boolean issue(
            final IssueKey key, final ClaimPart part, final boolean light, final Instant now) {
        refill(now);
        final long tokens = part.tokens();
        if (!hasTokens(light ? tokens : requiredTokens(part, now), light)) {
            reserve(part, light, now);
            return false;
        }
        if (mIssued.containsKey(key)) {
            return false;
        }
        if (part.claimTokens() >= mReservedClaimTokens) {
            mReservedClaimTokens = 0;
        }
        mIssued.put(key, new Issue(tokens, now.plus(TOKEN_VALIDITY)));
        mLevel -= tokens;
        mOutstanding += tokens;
        return true;
    }

    private boolean hasTokens(final double tokens, final boolean light) {
        return mLevel >= mLimits.minLevelBefore(light)
                && mLevel - tokens >= mLimits.minLevelAfter(light);
    }

    /**
     * Returns what the share must have for a claim. One that needs several shares at the same
     * moment finds what it asks of this one left behind by smaller claims; one that needs no other
     * share comes first as soon as there is enough for it.
     */
    private double requiredTokens(final ClaimPart part, final Instant now) {
        final long waiting = reservedClaimTokens(now);
        if (part.claimTokens() >= waiting) {
            return part.tokens();
        }
        return waiting > mReservedTokens
                ? part.tokens() + mReservedTokens
                : Math.max(part.tokens(), mReservedTokens);
    }

    /** The largest claim that was turned down a moment ago. */
    private long reservedClaimTokens(final Instant now) {
        return now.isBefore(mReservedUntil) ? mReservedClaimTokens : 0;
    }

    /**
     * Remembers a claim that was turned down. While a customer asks for more than it may have, its
     * small requests would take every token that comes in and its large ones would never be served;
     * so smaller claims wait. Claims are compared as wholes: a large one is split over several
     * shares, and its parts are no larger than others.
     */
    private void reserve(final ClaimPart part, final boolean light, final Instant now) {
        if (!light && part.claimTokens() >= reservedClaimTokens(now)) {
            mReservedClaimTokens = part.claimTokens();
            mReservedTokens =
                    Math.min(part.tokens(), MAX_RESERVED_FRACTION * mLimits.capacityTokens());
            mReservedUntil = now.plus(RESERVATION_TIME);
        }
    }

    /** Takes back tokens that were issued and surely not spent. */
    void returnTokens(final IssueKey key, final Instant now) {
        refill(now);
        final Issue issue = mIssued.remove(key);
        if (issue != null) {
            mLevel += issue.mTokens;
            mOutstanding -= issue.mTokens;
        }
    }

    double level(final Instant now) {
        refill(now);
        return mLevel;
    }

    private void refill(final Instant now) {
        final Iterator<Issue> oldestFirst = mIssued.values().iterator();
        while (oldestFirst.hasNext()) {
            final Issue issue = oldestFirst.next();
            if (!issue.mExpiresAt.isBefore(now)) {
                break;
            }
            refillUntil(issue.mExpiresAt);
            mOutstanding -= issue.mTokens;
            oldestFirst.remove();
        }
        refillUntil(now);
    }

    /** Lets tokens flow in, as far as there is room beside those that may still be spent. */
    private void refillUntil(final Instant time) {
        final Duration passed = Duration.between(mRefilledAt, time);
        if (passed.isNegative() || passed.isZero()) {
            return;
        }
        mRefilledAt = time;
        final double most = Math.max(mLimits.capacityTokens() - mOutstanding, mLevel);
        mLevel = Math.min(mLevel + mLimits.inflow(passed), most);
    }

    /**
     * What a claim asks of this share.
     *
     * @param tokens how many it asks here
     * @param claimTokens how many it needs of all shares
     */
    record ClaimPart(long tokens, long claimTokens) {}

    /** Who claimed, and under which number. */
    record IssueKey(String claimant, long requestId) {}

    private static final class Issue {
        private final long mTokens;
        private final Instant mExpiresAt;

        private Issue(final long tokens, final Instant spentBy) {
            mTokens = tokens;
            mExpiresAt = spentBy;
        }
    }
}
