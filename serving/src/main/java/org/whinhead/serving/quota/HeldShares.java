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
import java.util.stream.IntStream;
import org.whinhead.serving.configuration.CustomerAccount;
import org.whinhead.serving.configuration.TokenAllowance;

/** Issues tokens from the shares that this daemon holds. */
public final class HeldShares {

    /**
     * How long a holder issues tokens after it last read the table. A successor waits as long,
     * since a holder that is cut off from the store can't know that it was replaced. Regions can be
     * partitioned for an hour.
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
     * Creates the holder without a table and without customers.
     *
     * @param self this daemon's address for the other daemons
     * @param tolerance the window and tolerance within which spending is measured
     * @param startedAt a time at which no earlier process was running at this address
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
     * Applies the allowances of a configuration.
     *
     * @param customers the customers of the configuration
     * @param now the steady time
     */
    public void configure(final Collection<CustomerAccount> customers, final Instant now) {
        final Map<String, TokenAllowance> limited =
                customers.stream()
                        .filter(customer -> !customer.allowance().isUnlimited())
                        .collect(
                                Collectors.toMap(
                                        CustomerAccount::name,
                                        CustomerAccount::allowance,
                                        (first, last) -> last));
        mLimits.keySet().retainAll(limited.keySet());
        mBuckets.entrySet().removeIf(entry -> isExpired(entry.getKey(), entry.getValue(), now));
        limited.forEach((customer, allowance) -> setLimits(customer, allowance, now));
        // The previous process did not serve customers added after the first configuration.
        limited.keySet().forEach(customer -> createBuckets(customer, mConfigured));
        mConfigured = true;
    }

    /** A customer that is removed and added again within a window keeps its share levels. */
    private boolean isExpired(final BucketKey key, final ShareBucket bucket, final Instant now) {
        return !mLimits.containsKey(key.customer()) && bucket.isUnused(now);
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
     * Updates the table unless a newer version is known.
     *
     * @param table the table as read from the store
     * @param readAt a time before the read
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
            final ShareTable.Slot entry = mTable.get().slots().get(slot);
            if (entry.holder().equals(mSelf)) {
                final Instant from = exclusiveSince(entry);
                mBuckets.computeIfAbsent(
                        new BucketKey(customer, slot),
                        key ->
                                full
                                        ? ShareBucket.full(limits, from)
                                        : ShareBucket.restarted(limits, from));
            }
        }
    }

    /** Returns the steady time from which no other daemon has issued tokens of a slot. */
    private Instant exclusiveSince(final ShareTable.Slot entry) {
        final Duration later = Duration.between(mStartedAt.timeOfDay(), entry.activeFrom());
        return later.isNegative() ? mStartedAt.steady() : mStartedAt.steady().plus(later);
    }

    /**
     * Returns the newest table that this daemon has read.
     *
     * @return the table; empty before the first read
     */
    public Optional<ShareTable> table() {
        return mTable;
    }

    /**
     * Returns the limits of each of a customer's shares.
     *
     * @param customer the customer's name
     * @return the limits; empty if the customer is unknown or unlimited
     */
    Optional<ShareLimits> limits(final String customer) {
        return Optional.ofNullable(mLimits.get(customer));
    }

    /**
     * Returns whether this daemon may issue tokens of a slot.
     *
     * @param slot the index of the slot
     * @param now the current time
     * @return whether this daemon is the active holder and its table has not expired
     */
    boolean canIssue(final int slot, final ClockReading now) {
        if (mTable.isEmpty() || slot < 0 || slot >= mTable.get().slots().size()) {
            return false;
        }
        final ShareTable.Slot entry = mTable.get().slots().get(slot);
        return entry.holder().equals(mSelf)
                && !now.timeOfDay().isBefore(entry.activeFrom())
                && now.elapsedSince(mTableReadAt.orElseThrow()).compareTo(TABLE_VALIDITY) < 0;
    }

    /**
     * Returns the number of slots whose tokens this daemon may issue.
     *
     * @param now the current time
     * @return the number of active slots
     */
    public long activeCount(final ClockReading now) {
        return mTable.stream()
                .flatMapToInt(table -> IntStream.range(0, table.slots().size()))
                .filter(slot -> canIssue(slot, now))
                .count();
    }

    /** Returns whether the table lists this daemon as the holder of a slot, active or not. */
    boolean isOwn(final int slot) {
        return mTable.isPresent() && mTable.get().slots().get(slot).holder().equals(mSelf);
    }

    /** Returns the tokens in a held share; negative infinity if this daemon may not issue them. */
    double level(final String customer, final int slot, final ClockReading now) {
        final ShareBucket bucket = mBuckets.get(new BucketKey(customer, slot));
        return bucket == null || !canIssue(slot, now)
                ? Double.NEGATIVE_INFINITY
                : bucket.level(now.steady());
    }

    /**
     * Handles a request for tokens.
     *
     * @param claimant the incarnation of the requesting daemon
     * @param request the request
     * @param now the current time
     * @return the response
     */
    public TokenResponse handleRequest(
            final String claimant, final TokenRequest request, final ClockReading now) {
        final ShareBucket bucket = mBuckets.get(new BucketKey(request.customer(), request.slot()));
        if (bucket == null || !canIssue(request.slot(), now)) {
            return new TokenResponse(
                    request.id(),
                    request.customer(),
                    request.slot(),
                    TokenResponse.Outcome.NOT_HELD,
                    0,
                    0);
        }
        final boolean issued =
                bucket.issue(
                        new ShareBucket.IssueKey(claimant, request.id()),
                        new ShareBucket.ClaimPart(request.tokens(), request.claimTokens()),
                        request.light(),
                        now.steady());
        return new TokenResponse(
                request.id(),
                request.customer(),
                request.slot(),
                issued ? TokenResponse.Outcome.ISSUED : TokenResponse.Outcome.TOO_FEW,
                Math.round(bucket.level(now.steady())),
                Math.round(bucket.gainPerSecond(now.steady())));
    }

    /**
     * Puts the tokens of a request back into their share; they must not have been spent.
     *
     * @param claimant the incarnation of the requesting daemon
     * @param request the request that the tokens were issued for
     * @param now the current time
     */
    public void returnTokens(
            final String claimant, final TokenRequest request, final ClockReading now) {
        final ShareBucket bucket = mBuckets.get(new BucketKey(request.customer(), request.slot()));
        if (bucket != null) {
            bucket.returnTokens(new ShareBucket.IssueKey(claimant, request.id()), now.steady());
        }
    }

    private record BucketKey(String customer, int slot) {}
}
