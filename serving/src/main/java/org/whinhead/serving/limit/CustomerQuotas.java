package org.whinhead.serving.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.whinhead.serving.configuration.CustomerAccount;
import org.whinhead.serving.configuration.TokenAllowance;

/**
 * Keeps what customers spend below their allowance over all daemons.
 *
 * <p>Each daemon keeps a copy of every customer's token bucket, and takes from it what it admits
 * itself and what the others report to have admitted. Demand that moves from one failure domain to
 * another needs no shares to be moved, and the overspend is what is admitted within one report
 * interval. A daemon that falls silent may still be serving: what it was last seen to spend is
 * assumed to go on, so that a partition doesn't double the allowance.
 */
public final class CustomerQuotas {

    /** How far a bucket may be overdrawn, as a part of the slack that the deployment grants. */
    private static final double OVERDRAFT_PART = 0.25;

    /** Weight of the newest report in a silent daemon's assumed rate. */
    private static final double RATE_WEIGHT = 0.3;

    /** How long after its last report a daemon is taken to be spending unseen. */
    private static final Duration ASSUMED_FOR = Duration.ofSeconds(12);

    /** Reports come several times a second; a daemon without one for this long is silent. */
    private static final Duration SILENT_AFTER = Duration.ofMillis(1_500);

    private final long mOverdraft;
    private final Map<String, Bucket> mBuckets = new HashMap<>();

    /**
     * Makes quotas without customers.
     *
     * @param slackTokens what the deployment grants a customer beyond its allowance, in tokens
     */
    public CustomerQuotas(final long slackTokens) {
        mOverdraft = Math.round(slackTokens * OVERDRAFT_PART);
    }

    /**
     * Puts the allowances of a configuration in force.
     *
     * @param customers the customers
     * @param now the time
     */
    public void configure(final Collection<CustomerAccount> customers, final Instant now) {
        for (final CustomerAccount customer : customers) {
            final Bucket bucket = mBuckets.get(customer.name());
            if (bucket == null) {
                mBuckets.put(customer.name(), new Bucket(customer.allowance(), now));
            } else {
                bucket.refill(now);
                bucket.allow(customer.allowance());
            }
        }
        final Set<String> names =
                customers.stream().map(CustomerAccount::name).collect(Collectors.toSet());
        mBuckets.keySet().retainAll(names);
    }

    /**
     * Admits a request if its customer has tokens left.
     *
     * @param customer the customer
     * @param tokens what the request costs
     * @param now the time
     * @return whether it is admitted; its tokens are then spent
     */
    public boolean admit(final String customer, final long tokens, final Instant now) {
        final Bucket bucket = mBuckets.get(customer);
        if (bucket == null || bucket.mAllowance.isUnlimited()) {
            return true;
        }
        bucket.refill(now);
        if (bucket.mLevel <= -mOverdraft) {
            return false;
        }
        bucket.mLevel -= tokens;
        bucket.mOwnSpent += tokens;
        return true;
    }

    /**
     * Tells when a customer that was refused may come back.
     *
     * @param customer the customer
     * @param tokens what its request costs
     * @return the time until its bucket has the tokens
     */
    public Duration comeBackAfter(final String customer, final long tokens) {
        final Bucket bucket = mBuckets.get(customer);
        if (bucket == null || bucket.mAllowance.tokensPerSecond() == 0) {
            return Duration.ofSeconds(1);
        }
        final double missing = Math.max(tokens - bucket.mLevel, 0);
        return Duration.ofMillis(Math.round(missing * 1000 / bucket.mAllowance.tokensPerSecond()));
    }

    /**
     * Gives back what a request was charged that never ran.
     *
     * @param customer the customer
     * @param tokens what it was charged
     */
    public void refund(final String customer, final long tokens) {
        final Bucket bucket = mBuckets.get(customer);
        if (bucket != null && !bucket.mAllowance.isUnlimited()) {
            bucket.mLevel += tokens;
            bucket.mOwnSpent -= tokens;
        }
    }

    /**
     * Takes another daemon's report.
     *
     * @param daemon the daemon's incarnation
     * @param customer the customer
     * @param spentInAll what it has admitted since it started, in tokens
     * @param now the time
     */
    public void peerSpent(
            final String daemon, final String customer, final long spentInAll, final Instant now) {
        final Bucket bucket = mBuckets.get(customer);
        if (bucket != null) {
            bucket.refill(now);
            bucket.peer(daemon, spentInAll, now);
        }
    }

    /**
     * Lists what this daemon has admitted since it started.
     *
     * @return tokens by customer
     */
    public Map<String, Long> ownSpent() {
        final Map<String, Long> spent = new HashMap<>();
        mBuckets.forEach((customer, bucket) -> spent.put(customer, bucket.mOwnSpent));
        return spent;
    }

    private static final class Bucket {
        private final Map<String, Peer> mPeers = new HashMap<>();
        private TokenAllowance mAllowance;
        private double mLevel;
        private long mOwnSpent;
        private Instant mRefilledAt;

        private Bucket(final TokenAllowance allowance, final Instant now) {
            mAllowance = allowance;
            mLevel = allowance.burstTokens();
            mRefilledAt = now;
        }

        private void allow(final TokenAllowance allowance) {
            mLevel += Math.max(allowance.burstTokens() - mAllowance.burstTokens(), 0);
            mAllowance = allowance;
            mLevel = Math.min(mLevel, allowance.burstTokens());
        }

        private void refill(final Instant now) {
            final double seconds = Duration.between(mRefilledAt, now).toMillis() / 1000.0;
            if (seconds <= 0) {
                return;
            }
            mRefilledAt = now;
            mLevel =
                    Math.min(
                            mLevel + seconds * mAllowance.tokensPerSecond(),
                            mAllowance.burstTokens());
            for (final Peer peer : mPeers.values()) {
                mLevel -= peer.assume(seconds, now);
            }
        }

        private void peer(final String daemon, final long spentInAll, final Instant now) {
            final Peer peer = mPeers.get(daemon);
            if (peer == null) {
                mPeers.put(daemon, new Peer(spentInAll, now));
                return;
            }
            mLevel -= peer.report(spentInAll, now);
        }
    }

    private static final class Peer {
        private long mSpent;
        private double mAssumed;
        private double mRate;
        private Instant mReportedAt;

        private Peer(final long spent, final Instant now) {
            mSpent = spent;
            mReportedAt = now;
        }

        private double assume(final double seconds, final Instant now) {
            final Duration silence = Duration.between(mReportedAt, now);
            if (silence.compareTo(SILENT_AFTER) < 0 || silence.compareTo(ASSUMED_FOR) > 0) {
                return 0;
            }
            final double assumed = mRate * seconds;
            mAssumed += assumed;
            return assumed;
        }

        private double report(final long spentInAll, final Instant now) {
            final double seconds = Duration.between(mReportedAt, now).toMillis() / 1000.0;
            if (seconds <= 0) {
                return 0;
            }
            final double spent = spentInAll - mSpent;
            mRate += RATE_WEIGHT * (Math.max(spent, 0) / seconds - mRate);
            final double unseen = spent - mAssumed;
            mSpent = spentInAll;
            mAssumed = 0;
            mReportedAt = now;
            return unseen;
        }
    }
}
