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
 * Admits the requests of customers with tokens that the holders of their shares have issued.
 *
 * <p>What other daemons spend is nowhere guessed. A daemon that took the whole allowance for itself
 * less what it had heard of the others gave a customer more than it may have whenever reports were
 * late or lost, a daemon was cut off, or all had just started. Here a message that is lost costs
 * its customer tokens and never adds any.
 */
public final class CustomerQuotas {

    /** How long an answer is waited for before another holder is asked. */
    static final Duration RESPONSE_TIMEOUT = Duration.ofMillis(80);

    /**
     * How long a claim may take in all. Just after a restart of all daemons each is slow to answer;
     * a caller that is sent away then has used up its one return.
     */
    static final Duration CLAIM_TIMEOUT = Duration.ofMillis(1_000);

    /** When a caller comes back whose customer's tokens could not be asked for. */
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
     * Makes quotas without customers.
     *
     * @param self this daemon's incarnation
     * @param held the shares that this daemon holds itself
     * @param transport carries claims to the others
     * @param random picks among holders that look alike
     */
    public CustomerQuotas(
            final String self,
            final HeldShares held,
            final QuotaTransport transport,
            final Random random) {
        mSelf = self;
        mHeldShares = held;
        mTransport = transport;
        mEstimates = new ShareEstimates(held, random);
    }

    /**
     * Puts the allowances of a configuration in force.
     *
     * @param customers the customers
     * @param now the moment
     */
    public void configure(final Collection<CustomerAccount> customers, final ClockReading now) {
        mAllowances.clear();
        customers.forEach(customer -> mAllowances.put(customer.name(), customer.allowance()));
        mPools.keySet().retainAll(mAllowances.keySet());
        mEstimates.retainCustomers(mAllowances.keySet());
        mHeldShares.configure(customers, now.steady());
    }

    /**
     * Tells whether requests can be admitted: nobody is limited, or it is known who to ask.
     *
     * @return whether they can
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
     * @param customer the customer
     * @param tokens what the request costs
     * @param now the moment
     * @param outcome is told the outcome, perhaps at once
     * @return takes the claim back, for a caller that has left
     */
    public Runnable claim(
            final String customer,
            final long tokens,
            final ClockReading now,
            final TokenClaimListener outcome) {
        final TokenAllowance allowance = mAllowances.get(customer);
        final boolean light = allowance != null && tokens <= allowance.plainTokens();
        final TokenClaim claim = new TokenClaim(customer, tokens, light, now, outcome);
        if (allowance == null || allowance.isUnlimited()) {
            grant(claim, now);
            return () -> {};
        }
        final Optional<ClockReading> stocked = pool(customer).take(tokens, now);
        if (stocked.isPresent()) {
            grant(claim, stocked.get());
        } else if (mHeldShares.table().isEmpty()) {
            outcome.unavailable(UNAVAILABLE_RETRY_DELAY);
        } else {
            advance(claim, now);
        }
        return () -> cancel(claim, now);
    }

    private void cancel(final TokenClaim claim, final ClockReading claimedAt) {
        if (!claim.isFinished()) {
            abandon(claim, claimedAt);
        }
    }

    /**
     * Gives back what a request was admitted with that did not run.
     *
     * @param spend its tokens
     */
    public void refund(final TokenGrant spend) {
        mOfferedLoad.recordRefunded(spend.tokens());
        if (mAllowances.containsKey(spend.customer())) {
            pool(spend.customer()).add(spend.tokens(), spend.issuedAfter());
        }
    }

    /**
     * Takes a holder's answer.
     *
     * @param answer the answer
     * @param now the moment
     */
    public void handleResponse(final TokenResponse answer, final ClockReading now) {
        final OpenRequest open = mOpenRequests.remove(answer.id());
        if (open == null) {
            return;
        }
        final TokenClaim claim = open.claim();
        final TokenRequest ask = open.request();
        switch (answer.outcome()) {
            case ISSUED -> handleIssued(open, answer.level(), now.steady());
            case TOO_FEW -> {
                mEstimates.recordLevel(ask, answer.level(), now.steady());
                claim.recordDenied(ask);
            }
            case NOT_HELD -> {
                mEstimates.recordFailure(ask, now.steady());
                claim.recordNotHeld(ask);
            }
            default -> throw new IllegalStateException(answer.toString());
        }
        advance(claim, now);
    }

    private void handleIssued(final OpenRequest open, final long level, final Instant now) {
        mEstimates.recordLevel(open.request(), level, now);
        if (open.claim().isFinished()) {
            pool(open.claim().customer()).add(open.request().tokens(), open.sentAt());
        } else {
            open.claim().issued(open.request(), open.sentAt());
        }
    }

    /** Does the next step of a claim: it is whole, more is asked for, or it can't be met. */
    private void advance(final TokenClaim claim, final ClockReading now) {
        if (claim.isFinished()) {
            return;
        }
        claim.dropExpired(now);
        if (mHeldShares.limits(claim.customer()).isEmpty()) {
            finishWithoutShares(claim, now);
        } else if (claim.isComplete()) {
            complete(claim);
        } else if (now.elapsedSince(claim.startedAt()).compareTo(CLAIM_TIMEOUT) > 0) {
            reject(claim, now);
        } else if (claim.missingTokens() > 0) {
            requestTokens(claim, now);
        }
    }

    /** The customer has no shares any more: its limit was lifted, or it was taken out. */
    private void finishWithoutShares(final TokenClaim claim, final ClockReading now) {
        abandon(claim, now);
        if (mAllowances.containsKey(claim.customer())) {
            grant(claim, now);
        } else {
            claim.listener().unavailable(UNAVAILABLE_RETRY_DELAY);
        }
    }

    private void complete(final TokenClaim claim) {
        final ClockReading issuedAfter = claim.issuedAfter();
        if (claim.surplusTokens() > 0) {
            pool(claim.customer()).add(claim.surplusTokens(), issuedAfter);
        }
        grant(claim, issuedAfter);
    }

    private void grant(final TokenClaim claim, final ClockReading issuedAfter) {
        claim.finish();
        mOfferedLoad.recordAdmitted(claim.tokens());
        claim.listener().granted(new TokenGrant(claim.customer(), claim.tokens(), issuedAfter));
    }

    /**
     * Looks for answers that did not come in time.
     *
     * @param now the moment
     */
    public void checkTimeouts(final ClockReading now) {
        mCheckScheduled = false;
        final Set<TokenClaim> claims = new LinkedHashSet<>();
        mOpenRequests.values().forEach(open -> claims.add(open.claim()));
        mOpenRequests.values().removeIf(open -> TokenPool.isExpired(open.sentAt(), now));
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

    /** Asks for what is missing, split over as many shares as it takes. */
    private void requestTokens(final TokenClaim claim, final ClockReading now) {
        final ShareLimits limits = mHeldShares.limits(claim.customer()).orElseThrow();
        final List<Integer> slots = mEstimates.candidateSlots(claim, limits, now);
        if (slots.isEmpty() && !claim.hasOpenRequests()) {
            reject(claim, now);
            return;
        }
        long missing = claim.missingTokens();
        final int parts = Math.min(limits.partCount(missing), slots.size());
        final List<TokenRequest> asks = new ArrayList<>();
        for (int part = parts; part > 0; part--) {
            final long tokens = missing / part;
            missing -= tokens;
            asks.add(createRequest(claim, slots.get(parts - part), tokens, now));
        }
        asks.forEach(ask -> send(claim, ask, now));
    }

    private TokenRequest createRequest(
            final TokenClaim claim, final int slot, final long tokens, final ClockReading now) {
        final TokenRequest ask =
                new TokenRequest(
                        mNextId++, claim.customer(), slot, tokens, claim.tokens(), claim.isLight());
        claim.recordSent(ask, now, RESPONSE_TIMEOUT);
        mOpenRequests.put(ask.id(), new OpenRequest(claim, ask, now));
        return ask;
    }

    private void send(final TokenClaim claim, final TokenRequest ask, final ClockReading now) {
        if (claim.isFinished()) {
            // The answer of an own share has ended the claim before this part was sent.
            mOpenRequests.remove(ask.id());
        } else if (mHeldShares.isOwn(ask.slot())) {
            handleResponse(mHeldShares.handleRequest(mSelf, ask, now), now);
        } else {
            mTransport.sendRequest(holder(ask.slot()), ask);
            scheduleCheck();
        }
    }

    /** Ends a claim that can't be met, as soon as that is sure. */
    private void reject(final TokenClaim claim, final ClockReading now) {
        abandon(claim, now);
        if (claim.hasUnansweredRequest()) {
            claim.listener().unavailable(UNAVAILABLE_RETRY_DELAY);
        } else {
            final ShareLimits limits = mHeldShares.limits(claim.customer()).orElseThrow();
            claim.listener().overAllowance(mEstimates.retryAfter(claim, limits, now.steady()));
        }
    }

    /** Ends a claim whose tokens nobody wants any more, and gives back what was issued. */
    private void abandon(final TokenClaim claim, final ClockReading now) {
        claim.finish();
        claim.issued().forEach(ask -> returnTokens(ask, now));
    }

    private void returnTokens(final TokenRequest ask, final ClockReading now) {
        if (mHeldShares.isOwn(ask.slot())) {
            mHeldShares.returnTokens(mSelf, ask, now);
        } else {
            mTransport.sendReturn(holder(ask.slot()), ask);
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
