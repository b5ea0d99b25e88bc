package org.whinhead.serving.quota;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.whinhead.serving.configuration.CustomerAccount;
import org.whinhead.serving.configuration.TokenAllowance;

/**
 * Client of the distributed token buckets: admits a request once the holders of its customer's
 * shares have issued its tokens.
 *
 * <p>No daemon estimates the spending of the others, which admits too much whenever reports are
 * late or lost. Here a lost message costs its customer tokens and never adds any.
 */
public final class CustomerQuotas {

    /** The time after which a request without a response is sent to another holder. */
    static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(80);

    /**
     * The longest time of a claim. Just after a restart of all daemons each one responds slowly,
     * and a rejection would use up the caller's only retry.
     */
    static final Duration CLAIM_TIMEOUT = Duration.ofMillis(1_000);

    /** The retry delay if the customer's remaining allowance can't be determined. */
    private static final Duration UNAVAILABLE_RETRY_DELAY = Duration.ofMillis(100);

    private final HeldShares mHeldShares;
    private final QuotaTransport mTransport;
    private final ShareEstimates mEstimates;
    private final String mSelf;
    private final OfferedLoad mOfferedLoad = new OfferedLoad();
    private final Map<String, TokenAllowance> mAllowances = new HashMap<>();
    private final Map<String, TokenPool> mPools = new HashMap<>();
    private final Map<Long, OpenRequest> mOpenRequests = new LinkedHashMap<>();
    private long mNextId;
    private boolean mCheckScheduled;

    /**
     * Creates quotas without customers.
     *
     * @param self this daemon's incarnation
     * @param heldShares the shares that this daemon holds
     * @param transport sends requests to other holders
     * @param random selects among equally suitable holders
     */
    public CustomerQuotas(
            final String self,
            final HeldShares heldShares,
            final QuotaTransport transport,
            final Random random) {
        mSelf = self;
        mHeldShares = heldShares;
        mTransport = transport;
        mEstimates = new ShareEstimates(heldShares, random);
    }

    /**
     * Applies the allowances of a configuration.
     *
     * @param customers the customers of the configuration
     * @param now the current time
     */
    public void configure(final Collection<CustomerAccount> customers, final ClockReading now) {
        mAllowances.clear();
        customers.forEach(customer -> mAllowances.put(customer.name(), customer.allowance()));
        mPools.keySet().retainAll(mAllowances.keySet());
        mEstimates.retainCustomers(mAllowances.keySet());
        mHeldShares.configure(customers, now.steady());
    }

    /**
     * Returns whether requests can be admitted.
     *
     * @return whether the share table is known or no customer is limited
     */
    public boolean isReady() {
        return mHeldShares.table().isPresent()
                || mAllowances.values().stream().allMatch(TokenAllowance::isUnlimited);
    }

    public HeldShares heldShares() {
        return mHeldShares;
    }

    public OfferedLoad offeredLoad() {
        return mOfferedLoad;
    }

    /**
     * Claims the tokens of a request.
     *
     * @param customer the customer's name
     * @param tokens the cost of the request, in tokens
     * @param now the current time
     * @param listener receives the outcome, possibly before this method returns
     * @return cancels the claim, for a caller that has disconnected
     */
    public Runnable claim(
            final String customer,
            final long tokens,
            final ClockReading now,
            final TokenClaimListener listener) {
        final TokenAllowance allowance = mAllowances.get(customer);
        final boolean light = allowance != null && tokens <= allowance.plainTokens();
        final TokenClaim claim = new TokenClaim(customer, tokens, light, now, listener);
        if (allowance == null || allowance.isUnlimited()) {
            grant(claim, now);
            return () -> {};
        }
        final Optional<ClockReading> pooled = pool(customer).take(tokens, now);
        if (pooled.isPresent()) {
            grant(claim, pooled.get());
        } else if (mHeldShares.table().isEmpty()) {
            listener.unavailable(UNAVAILABLE_RETRY_DELAY);
        } else {
            advance(claim, now);
        }
        return () -> cancel(claim, now);
    }

    /**
     * Returns what this daemon knows of the levels of a customer's shares.
     *
     * @param customer the customer's name
     * @param now the current time
     * @return the levels; none for shares whose holder has reported nothing
     */
    public List<KnownLevel> knownLevels(final String customer, final ClockReading now) {
        return mHeldShares.table().isEmpty() || mHeldShares.limits(customer).isEmpty()
                ? List.of()
                : mEstimates.knownLevels(customer, now);
    }

    private void cancel(final TokenClaim claim, final ClockReading claimedAt) {
        if (!claim.isFinished()) {
            abandon(claim, claimedAt);
            releaseReservations(claim, claimedAt);
        }
    }

    /**
     * Refunds the tokens of an admitted request that did not run.
     *
     * @param grant the tokens of the request
     */
    public void refund(final TokenGrant grant) {
        mOfferedLoad.recordRefunded(grant.tokens());
        if (mAllowances.containsKey(grant.customer())) {
            pool(grant.customer()).add(grant.tokens(), grant.issuedAfter());
        }
    }

    /**
     * Handles the response of a holder.
     *
     * @param response the response
     * @param now the current time
     */
    public void handleResponse(final TokenResponse response, final ClockReading now) {
        final OpenRequest openRequest = mOpenRequests.remove(response.id());
        if (openRequest == null) {
            return;
        }
        final TokenClaim claim = openRequest.claim();
        final TokenRequest request = openRequest.request();
        switch (response.outcome()) {
            case ISSUED -> handleIssued(openRequest, response, now.steady());
            case TOO_FEW -> {
                mEstimates.recordLevel(request, response, now.steady());
                claim.recordDenied(request);
            }
            case NOT_HELD -> {
                mEstimates.recordFailure(request, now.steady());
                claim.recordNotHeld(request);
            }
            default -> throw new IllegalStateException(response.toString());
        }
        advance(claim, now);
    }

    private void handleIssued(
            final OpenRequest openRequest, final TokenResponse response, final Instant now) {
        mEstimates.recordLevel(openRequest.request(), response, now);
        if (openRequest.claim().isFinished()) {
            pool(openRequest.claim().customer())
                    .add(openRequest.request().tokens(), openRequest.sentAt());
        } else {
            openRequest.claim().recordIssued(openRequest.request(), openRequest.sentAt());
        }
    }

    /** Completes or rejects a claim, or requests its missing tokens. */
    private void advance(final TokenClaim claim, final ClockReading now) {
        if (claim.isFinished()) {
            return;
        }
        claim.dropExpired(now);
        if (mHeldShares.limits(claim.customer()).isEmpty()) {
            finishWithoutShares(claim, now);
        } else if (claim.isComplete()) {
            complete(claim, now);
        } else if (now.elapsedSince(claim.startedAt()).compareTo(CLAIM_TIMEOUT) > 0) {
            reject(claim, now);
        } else if (claim.missingTokens() > 0) {
            requestTokens(claim, now);
        }
    }

    /** Ends a claim whose customer's limit was lifted, or whose customer was removed. */
    private void finishWithoutShares(final TokenClaim claim, final ClockReading now) {
        abandon(claim, now);
        if (mAllowances.containsKey(claim.customer())) {
            grant(claim, now);
        } else {
            claim.listener().unavailable(UNAVAILABLE_RETRY_DELAY);
        }
    }

    private void complete(final TokenClaim claim, final ClockReading now) {
        releaseReservations(claim, now);
        final ClockReading issuedAfter = claim.issuedAfter();
        if (claim.surplusTokens() > 0) {
            pool(claim.customer()).add(claim.surplusTokens(), issuedAfter);
        }
        grant(claim, issuedAfter);
    }

    /**
     * Releases what shares reserved for a claim when they had too few tokens.
     *
     * <p>A reservation for a claim that was met elsewhere would hold back the smaller claims of a
     * customer within its allowance.
     */
    private void releaseReservations(final TokenClaim claim, final ClockReading now) {
        claim.deniedRequests().forEach(request -> returnTokens(request, now));
    }

    private void grant(final TokenClaim claim, final ClockReading issuedAfter) {
        claim.finish();
        mOfferedLoad.recordAdmitted(claim.tokens());
        claim.listener().granted(new TokenGrant(claim.customer(), claim.tokens(), issuedAfter));
    }

    /**
     * Checks for requests without a response in time and continues their claims.
     *
     * @param now the current time
     */
    public void checkTimeouts(final ClockReading now) {
        mCheckScheduled = false;
        final Set<TokenClaim> claims = new LinkedHashSet<>();
        mOpenRequests.values().forEach(openRequest -> claims.add(openRequest.claim()));
        mOpenRequests
                .values()
                .removeIf(openRequest -> TokenPool.isExpired(openRequest.sentAt(), now));
        for (final TokenClaim claim : claims) {
            Optional<TokenRequest> overdue = claim.takeOverdue(now.steady());
            while (overdue.isPresent()) {
                mEstimates.recordFailure(overdue.get(), now.steady());
                overdue = claim.takeOverdue(now.steady());
            }
            advance(claim, now);
        }
        if (!mOpenRequests.isEmpty()) {
            scheduleCheck();
        }
    }

    private void scheduleCheck() {
        if (!mCheckScheduled) {
            mCheckScheduled = true;
            mTransport.scheduleTimeoutCheck(RESPONSE_TIMEOUT);
        }
    }

    /**
     * Requests a claim's missing tokens, split over as few shares as its size needs. A claim that
     * no share can meet alone is split over all that have tokens.
     */
    private void requestTokens(final TokenClaim claim, final ClockReading now) {
        final ShareLimits limits = mHeldShares.limits(claim.customer()).orElseThrow();
        final List<Integer> slots = mEstimates.candidateSlots(claim, limits, now);
        if (!slots.isEmpty() || claim.hasOpenRequests()) {
            final int parts = Math.min(limits.partCount(claim.missingTokens()), slots.size());
            requestParts(claim, slots.subList(0, parts), now);
            return;
        }
        final List<Integer> partSlots =
                claim.beginSplit()
                        ? mEstimates.slotsForEvenParts(claim, limits, now)
                        : List.<Integer>of();
        if (partSlots.isEmpty()) {
            reject(claim, now);
        } else {
            requestParts(claim, partSlots, now);
        }
    }

    private void requestParts(
            final TokenClaim claim, final List<Integer> slots, final ClockReading now) {
        long missing = claim.missingTokens();
        final List<TokenRequest> requests = new ArrayList<>();
        int remaining = slots.size();
        for (final int slot : slots) {
            final long tokens = missing / remaining;
            missing -= tokens;
            remaining--;
            requests.add(createRequest(claim, slot, tokens, now));
        }
        requests.forEach(request -> send(claim, request, now));
    }

    private TokenRequest createRequest(
            final TokenClaim claim, final int slot, final long tokens, final ClockReading now) {
        final TokenRequest request =
                new TokenRequest(
                        mNextId++, claim.customer(), slot, tokens, claim.tokens(), claim.isLight());
        claim.recordSent(request, now, RESPONSE_TIMEOUT);
        mOpenRequests.put(request.id(), new OpenRequest(claim, request, now));
        return request;
    }

    private void send(final TokenClaim claim, final TokenRequest request, final ClockReading now) {
        if (claim.isFinished()) {
            // A share of this daemon has ended the claim before this request was sent.
            mOpenRequests.remove(request.id());
        } else if (mHeldShares.isOwn(request.slot())) {
            handleResponse(mHeldShares.handleRequest(mSelf, request, now), now);
        } else {
            mTransport.sendRequest(holder(request.slot()), request);
            scheduleCheck();
        }
    }

    /** Ends a claim that can't be met. */
    private void reject(final TokenClaim claim, final ClockReading now) {
        abandon(claim, now);
        if (claim.hasUnansweredRequest()) {
            claim.listener().unavailable(UNAVAILABLE_RETRY_DELAY);
        } else {
            final ShareLimits limits = mHeldShares.limits(claim.customer()).orElseThrow();
            claim.listener().overAllowance(mEstimates.retryAfter(claim, limits, now.steady()));
        }
    }

    /** Ends a claim and returns its issued tokens to the holders. */
    private void abandon(final TokenClaim claim, final ClockReading now) {
        claim.finish();
        claim.issuedRequests().forEach(request -> returnTokens(request, now));
    }

    private void returnTokens(final TokenRequest request, final ClockReading now) {
        if (mHeldShares.isOwn(request.slot())) {
            mHeldShares.returnTokens(mSelf, request, now);
        } else {
            mTransport.sendReturn(holder(request.slot()), request);
        }
    }

    private InetSocketAddress holder(final int slot) {
        return mHeldShares.table().orElseThrow().slots().get(slot).holder();
    }

    private TokenPool pool(final String customer) {
        return mPools.computeIfAbsent(customer, name -> new TokenPool());
    }

    private record OpenRequest(TokenClaim claim, TokenRequest request, ClockReading sentAt) {}
}
