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
 * Keeps what customers spend within their allowance over all daemons.
 *
 * <p>A customer may spend, in any window of the deployment's length, its rate times the window and
 * its burst. Each daemon sums the whole fleet's spending: what it admits itself, and what the
 * others report to have admitted. Demand that moves from one failure domain to another needs no
 * shares to be moved, and the overspend is what is admitted within one report interval. A daemon
 * that falls silent may still be serving: what it was last seen to spend is assumed to go on, so
 * that a partition doesn't double the allowance.
 */
public final class CustomerQuotas {

    /** The part of the deployment's tolerance that is used; reports that lag need the rest. */
    private static final double USED_TOLERANCE = 0.5;

    /**
     * The part of an allowance that a daemon which has just started takes as spent: it can't know
     * what was admitted before, and after a restart of all daemons nobody can.
     */
    private static final double SPENT_AT_START = 0.5;

    /** Weight of the newest report in a silent daemon's assumed rate. */
    private static final double RATE_WEIGHT = 0.3;

    /** How long after its last report a daemon is taken to be spending unseen. */
    private static final Duration ASSUMED_FOR = Duration.ofSeconds(12);

    /** Reports come several times a second; a daemon without one for this long is silent. */
    private static final Duration SILENT_AFTER = Duration.ofMillis(1_500);

    private static final int MILLIS_PER_SECOND = 1_000;

    private final QuotaTolerance mTolerance;
    private final Map<String, Account> mAccounts = new HashMap<>();

    /**
     * Makes quotas without customers.
     *
     * @param tolerance how spending is measured
     */
    public CustomerQuotas(final QuotaTolerance tolerance) {
        mTolerance = tolerance;
    }

    /**
     * Puts the allowances of a configuration in force.
     *
     * @param customers the customers
     * @param now the time
     */
    public void configure(final Collection<CustomerAccount> customers, final Instant now) {
        for (final CustomerAccount customer : customers) {
            final Account account = mAccounts.get(customer.name());
            if (account == null) {
                mAccounts.put(customer.name(), new Account(customer.allowance(), now));
            } else {
                account.mAllowance = customer.allowance();
            }
        }
        final Set<String> names =
                customers.stream().map(CustomerAccount::name).collect(Collectors.toSet());
        mAccounts.keySet().retainAll(names);
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
        final Account account = mAccounts.get(customer);
        if (account == null || account.mAllowance.isUnlimited()) {
            return true;
        }
        account.assumeSilent(now);
        if (account.mSpent.total(now) + tokens > account.limit()) {
            return false;
        }
        account.spend(tokens, now);
        return true;
    }

    /**
     * Tells when a customer that was refused may come back.
     *
     * @param customer the customer
     * @param tokens what its request costs
     * @param now the time
     * @return the time in which the customer regains that many tokens at its rate
     */
    public Duration comeBackAfter(final String customer, final long tokens, final Instant now) {
        final Account account = mAccounts.get(customer);
        if (account == null || account.mAllowance.tokensPerSecond() == 0) {
            return Duration.ofSeconds(1);
        }
        final double missing = account.mSpent.total(now) + tokens - account.limit();
        return Duration.ofMillis(
                Math.round(
                        Math.max(missing, 0)
                                * MILLIS_PER_SECOND
                                / account.mAllowance.tokensPerSecond()));
    }

    /**
     * Tells how many tokens a customer has left in the current window.
     *
     * @param customer the customer
     * @param now the time
     * @return the tokens; negative if it is over its allowance
     */
    public long tokensLeft(final String customer, final Instant now) {
        final Account account = mAccounts.get(customer);
        return account == null ? 0 : Math.round(account.limit() - account.mSpent.total(now));
    }

    /**
     * Gives back what a request was charged that never ran.
     *
     * @param customer the customer
     * @param tokens what it was charged
     * @param now the time
     */
    public void refund(final String customer, final long tokens, final Instant now) {
        final Account account = mAccounts.get(customer);
        if (account != null && !account.mAllowance.isUnlimited()) {
            account.spend(-tokens, now);
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
        final Account account = mAccounts.get(customer);
        if (account != null) {
            account.assumeSilent(now);
            account.peer(daemon, spentInAll, now);
        }
    }

    /**
     * Lists what this daemon has admitted since it started.
     *
     * @return tokens by customer
     */
    public Map<String, Long> ownSpent() {
        final Map<String, Long> spent = new HashMap<>();
        mAccounts.forEach((customer, account) -> spent.put(customer, account.mOwnSpent));
        return spent;
    }

    private final class Account {
        private final Map<String, Peer> mPeers = new HashMap<>();
        private final SlidingCount mSpent = new SlidingCount(mTolerance.window());
        private TokenAllowance mAllowance;
        private long mOwnSpent;
        private Instant mAssumedAt;

        private Account(final TokenAllowance allowance, final Instant now) {
            mAllowance = allowance;
            mAssumedAt = now;
            mSpent.spread(now, SPENT_AT_START * limit());
        }

        private double limit() {
            final double seconds = (double) mTolerance.window().toMillis() / MILLIS_PER_SECOND;
            final double allowed =
                    seconds * mAllowance.tokensPerSecond() + mAllowance.burstTokens();
            return allowed * (1 + USED_TOLERANCE * mTolerance.overPart())
                    + USED_TOLERANCE * mTolerance.slackTokens();
        }

        private void spend(final long tokens, final Instant now) {
            mSpent.add(now, tokens);
            mOwnSpent += tokens;
        }

        private void assumeSilent(final Instant now) {
            final double seconds =
                    (double) Duration.between(mAssumedAt, now).toMillis() / MILLIS_PER_SECOND;
            if (seconds <= 0) {
                return;
            }
            mAssumedAt = now;
            for (final Peer peer : mPeers.values()) {
                mSpent.add(now, peer.assume(seconds, now));
            }
        }

        private void peer(final String daemon, final long spentInAll, final Instant now) {
            final Peer peer = mPeers.get(daemon);
            if (peer == null) {
                mPeers.put(daemon, new Peer(spentInAll, now));
                return;
            }
            mSpent.add(now, peer.report(spentInAll, now));
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
            final double seconds =
                    Duration.between(mReportedAt, now).toMillis() / (double) MILLIS_PER_SECOND;
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
