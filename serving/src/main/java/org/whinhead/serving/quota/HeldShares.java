package org.whinhead.serving.quota;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.whinhead.serving.configuration.CustomerAccount;
import org.whinhead.serving.configuration.TokenAllowance;

/** The shares that this daemon holds, and the tokens that it issues of them. */
public final class HeldShares {

    /**
     * How long a holder goes on after it last read the table. Until then a daemon that took its
     * place waits: a holder that is cut off from the store can't know that it was replaced. Regions
     * lose each other for an hour.
     */
    public static final Duration TABLE_VALIDITY = Duration.ofMinutes(90);

    private final InetSocketAddress mSelf;
    private final QuotaTolerance mTolerance;
    private final ClockReading mStartedAt;
    private final Map<String, ShareLimits> mLimits = new HashMap<>();
    private final Map<BucketKey, ShareBucket> mBuckets = new HashMap<>();
    private Optional<ShareTable> mTable = Optional.empty();
    private Optional<ClockReading> mTableReadAt = Optional.empty();
    private boolean mConfigured;

    /**
     * Makes a daemon's shares; it knows of none yet.
     *
     * @param self the daemon's address for the other daemons
     * @param tolerance how spending is measured
     * @param startedAt a moment at which no earlier process was left at this address
     */
    public HeldShares(
            final InetSocketAddress self,
            final QuotaTolerance tolerance,
            final ClockReading startedAt) {
        mSelf = self;
        mTolerance = tolerance;
        mStartedAt = startedAt;
    }

    /**
     * Puts the allowances of a configuration in force.
     *
     * @param customers the customers
     * @param now the steady time
     */
    public void configure(final Collection<CustomerAccount> customers, final Instant now) {
        final Map<String, TokenAllowance> limited =
                customers.stream()
                        .filter(customer -> !customer.allowance().isUnlimited())
                        .collect(
                                Collectors.toMap(
                                        CustomerAccount::name, CustomerAccount::allowance));
        mLimits.keySet().retainAll(limited.keySet());
        mBuckets.entrySet().removeIf(entry -> isExpired(entry.getKey(), entry.getValue(), now));
        limited.forEach((customer, allowance) -> setLimits(customer, allowance, now));
        // Whoever comes later than the first configuration was not served by the process before.
        limited.keySet().forEach(customer -> createBuckets(customer, mConfigured));
        mConfigured = true;
    }

    /** A customer that is removed and comes back finds its shares as they were. */
    private boolean isExpired(final BucketKey key, final ShareBucket bucket, final Instant now) {
        return !mLimits.containsKey(key.customer())
                && bucket.isUnusedSince(now.minus(mTolerance.window()));
    }

    private void setLimits(
            final String customer, final TokenAllowance allowance, final Instant now) {
        final ShareLimits limits = ShareLimits.of(allowance, mTolerance);
        mLimits.put(customer, limits);
        mBuckets.forEach(
                (key, bucket) -> {
                    if (key.customer().equals(customer)) {
                        bucket.setLimits(limits, now);
                    }
                });
    }

    /**
     * Takes the table as this daemon has read it in the store.
     *
     * @param table the table
     * @param readAt a moment before it was read
     */
    public void updateTable(final ShareTable table, final ClockReading readAt) {
        if (mTable.isPresent() && mTable.get().version() > table.version()) {
            return;
        }
        mTable = Optional.of(table);
        mTableReadAt = Optional.of(readAt);
        final Set<String> customers = Set.copyOf(mLimits.keySet());
        customers.forEach(customer -> createBuckets(customer, false));
    }

    private void createBuckets(final String customer, final boolean full) {
        if (mTable.isEmpty()) {
            return;
        }
        final ShareLimits limits = mLimits.get(customer);
        for (int share = 0; share < ShareLimits.SHARES; share++) {
            final int slot = mTable.get().slotOf(customer, share);
            final ShareTable.Slot place = mTable.get().slots().get(slot);
            if (place.holder().equals(mSelf)) {
                final Instant from = exclusiveSince(place);
                mBuckets.computeIfAbsent(
                        new BucketKey(customer, slot),
                        key ->
                                full
                                        ? ShareBucket.full(limits, from)
                                        : ShareBucket.restarted(limits, from));
            }
        }
    }

    /** The steady time from which nobody else has issued tokens of a slot. */
    private Instant exclusiveSince(final ShareTable.Slot place) {
        final Duration later = Duration.between(mStartedAt.timeOfDay(), place.activeFrom());
        return later.isNegative() ? mStartedAt.steady() : mStartedAt.steady().plus(later);
    }

    /**
     * Returns the table that this daemon goes by.
     *
     * @return the table; empty until it was read
     */
    public Optional<ShareTable> table() {
        return mTable;
    }

    /**
     * Returns what each share of a customer gives out.
     *
     * @param customer the customer
     * @return its limits; empty if it has none
     */
    Optional<ShareLimits> limits(final String customer) {
        return Optional.ofNullable(mLimits.get(customer));
    }

    /**
     * Tells whether this daemon may issue tokens of a slot now.
     *
     * @param slot the slot
     * @param now the moment
     * @return whether it holds it
     */
    boolean canIssue(final int slot, final ClockReading now) {
        if (mTable.isEmpty() || slot < 0 || slot >= mTable.get().slots().size()) {
            return false;
        }
        final ShareTable.Slot place = mTable.get().slots().get(slot);
        return place.holder().equals(mSelf)
                && !now.timeOfDay().isBefore(place.activeFrom())
                && now.elapsedSince(mTableReadAt.orElseThrow()).compareTo(TABLE_VALIDITY) < 0;
    }

    /** Tells whether the table names this daemon as the holder of a slot, active or not. */
    boolean isOwn(final int slot) {
        return mTable.isPresent() && mTable.get().slots().get(slot).holder().equals(mSelf);
    }

    /** The tokens of an own share; none at all where this daemon may not issue any. */
    double level(final String customer, final int slot, final ClockReading now) {
        final ShareBucket bucket = mBuckets.get(new BucketKey(customer, slot));
        return bucket == null || !canIssue(slot, now)
                ? Double.NEGATIVE_INFINITY
                : bucket.level(now.steady());
    }

    /**
     * Answers an ask for tokens.
     *
     * @param claimant the incarnation that asks
     * @param ask what it asks
     * @param now the moment
     * @return the answer
     */
    public TokenResponse handleRequest(
            final String claimant, final TokenRequest ask, final ClockReading now) {
        final ShareBucket bucket = mBuckets.get(new BucketKey(ask.customer(), ask.slot()));
        if (bucket == null || !canIssue(ask.slot(), now)) {
            return new TokenResponse(
                    ask.id(), ask.customer(), ask.slot(), TokenResponse.Outcome.NOT_HELD, 0);
        }
        final boolean issued =
                bucket.issue(
                        new ShareBucket.IssueKey(claimant, ask.id()),
                        new ShareBucket.ClaimPart(ask.tokens(), ask.claimTokens()),
                        ask.light(),
                        now.steady());
        return new TokenResponse(
                ask.id(),
                ask.customer(),
                ask.slot(),
                issued ? TokenResponse.Outcome.ISSUED : TokenResponse.Outcome.TOO_FEW,
                Math.round(bucket.level(now.steady())));
    }

    /**
     * Takes back the tokens of an ask that were surely not spent.
     *
     * @param claimant the incarnation that asked
     * @param ask what it asked
     * @param now the moment
     */
    public void returnTokens(
            final String claimant, final TokenRequest ask, final ClockReading now) {
        final ShareBucket bucket = mBuckets.get(new BucketKey(ask.customer(), ask.slot()));
        if (bucket != null) {
            bucket.returnTokens(new ShareBucket.IssueKey(claimant, ask.id()), now.steady());
        }
    }

    private record BucketKey(String customer, int slot) {}
}
