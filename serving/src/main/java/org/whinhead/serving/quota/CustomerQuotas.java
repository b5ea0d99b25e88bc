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
    static final Duration ANSWER_TIMEOUT = Duration.ofMillis(80);

    /**
     * How long a claim may take in all. Just after a restart of all daemons each is slow to answer;
     * a caller that is sent away then has used up its one return.
     */
    static final Duration CLAIM_TIMEOUT = Duration.ofMillis(1_000);

    /** When a caller comes back whose customer's tokens could not be asked for. */
    private static final Duration UNKNOWN_RETRY = Duration.ofMillis(100);

    private final HeldShares mHeld;
    private final QuotaTransport mTransport;
    private final ShareViews mViews;
    private final String mSelf;
    private final OfferedTokens mOffered = new OfferedTokens();
    private final Map<String, TokenAllowance> mAllowances = new HashMap<>();
    private final Map<String, TokenStock> mStocks = new HashMap<>();
    private final Map<Long, OpenAsk> mAsks = new LinkedHashMap<>();
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
        mHeld = held;
        mTransport = transport;
        mViews = new ShareViews(held, random);
    }

    /**
     * Puts the allowances of a configuration in force.
     *
     * @param customers the customers
     * @param now the moment
     */
    public void configure(final Collection<CustomerAccount> customers, final Moment now) {
        mAllowances.clear();
        customers.forEach(customer -> mAllowances.put(customer.name(), customer.allowance()));
        mStocks.keySet().retainAll(mAllowances.keySet());
        mViews.retain(mAllowances.keySet());
        mHeld.configure(customers, now.steady());
    }

    /**
     * Tells whether requests can be admitted: nobody is limited, or it is known who to ask.
     *
     * @return whether they can
     */
    public boolean isReady() {
        return mHeld.table().isPresent()
                || mAllowances.values().stream().allMatch(TokenAllowance::isUnlimited);
    }

    public HeldShares held() {
        return mHeld;
    }

    public OfferedTokens offered() {
        return mOffered;
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
            final Moment now,
            final TokenClaimListener outcome) {
        final TokenAllowance allowance = mAllowances.get(customer);
        final boolean light = allowance != null && tokens <= allowance.plainTokens();
        final TokenClaim claim = new TokenClaim(customer, tokens, light, now, outcome);
        if (allowance == null || allowance.isUnlimited()) {
            grant(claim, now);
            return () -> {};
        }
        final Optional<Moment> stocked = stock(customer).take(tokens, now);
        if (stocked.isPresent()) {
            grant(claim, stocked.get());
        } else if (mHeld.table().isEmpty()) {
            outcome.unknown(UNKNOWN_RETRY);
        } else {
            proceed(claim, now);
        }
        return () -> cancel(claim, now);
    }

    private void cancel(final TokenClaim claim, final Moment claimedAt) {
        if (!claim.isDone()) {
            abandon(claim, claimedAt);
        }
    }

    /**
     * Gives back what a request was admitted with that did not run.
     *
     * @param spend its tokens
     */
    public void refund(final TokenSpend spend) {
        mOffered.refunded(spend.tokens());
        if (mAllowances.containsKey(spend.customer())) {
            stock(spend.customer()).add(spend.tokens(), spend.issuedAfter());
        }
    }

    /**
     * Takes a holder's answer.
     *
     * @param answer the answer
     * @param now the moment
     */
    public void answered(final TokenAnswer answer, final Moment now) {
        final OpenAsk open = mAsks.remove(answer.id());
        if (open == null) {
            return;
        }
        final TokenClaim claim = open.claim();
        final TokenAsk ask = open.ask();
        switch (answer.outcome()) {
            case ISSUED -> issued(open, answer.level(), now.steady());
            case TOO_FEW -> {
                mViews.heard(ask, answer.level(), now.steady());
                claim.denied(ask);
            }
            case NOT_HELD -> {
                mViews.silent(ask, now.steady());
                claim.notKnown(ask);
            }
            default -> throw new IllegalStateException(answer.toString());
        }
        proceed(claim, now);
    }

    private void issued(final OpenAsk open, final long level, final Instant now) {
        mViews.heard(open.ask(), level, now);
        if (open.claim().isDone()) {
            stock(open.claim().customer()).add(open.ask().tokens(), open.sentAt());
        } else {
            open.claim().issued(open.ask(), open.sentAt());
        }
    }

    /** Does the next step of a claim: it is whole, more is asked for, or it can't be met. */
    private void proceed(final TokenClaim claim, final Moment now) {
        if (claim.isDone()) {
            return;
        }
        claim.dropLapsed(now);
        if (mHeld.limits(claim.customer()).isEmpty()) {
            endUnlimited(claim, now);
        } else if (claim.isWhole()) {
            complete(claim);
        } else if (now.since(claim.startedAt()).compareTo(CLAIM_TIMEOUT) > 0) {
            refuse(claim, now);
        } else if (claim.missing() > 0) {
            ask(claim, now);
        }
    }

    /** The customer has no shares any more: its limit was lifted, or it was taken out. */
    private void endUnlimited(final TokenClaim claim, final Moment now) {
        abandon(claim, now);
        if (mAllowances.containsKey(claim.customer())) {
            grant(claim, now);
        } else {
            claim.outcome().unknown(UNKNOWN_RETRY);
        }
    }

    private void complete(final TokenClaim claim) {
        final Moment issuedAfter = claim.issuedAfter();
        if (claim.surplus() > 0) {
            stock(claim.customer()).add(claim.surplus(), issuedAfter);
        }
        grant(claim, issuedAfter);
    }

    private void grant(final TokenClaim claim, final Moment issuedAfter) {
        claim.done();
        mOffered.admitted(claim.tokens());
        claim.outcome().granted(new TokenSpend(claim.customer(), claim.tokens(), issuedAfter));
    }

    /**
     * Looks for answers that did not come in time.
     *
     * @param now the moment
     */
    public void checkAnswers(final Moment now) {
        mCheckScheduled = false;
        final Set<TokenClaim> claims = new LinkedHashSet<>();
        mAsks.values().forEach(open -> claims.add(open.claim()));
        mAsks.values().removeIf(open -> TokenStock.isLapsed(open.sentAt(), now));
        for (final TokenClaim claim : claims) {
            Optional<TokenAsk> overdue = claim.overdue(now.steady());
            while (overdue.isPresent()) {
                mViews.silent(overdue.get(), now.steady());
                overdue = claim.overdue(now.steady());
            }
            proceed(claim, now);
        }
        if (!mAsks.isEmpty()) {
            scheduleCheck();
        }
    }

    private void scheduleCheck() {
        if (!mCheckScheduled) {
            mCheckScheduled = true;
            mTransport.checkAfter(ANSWER_TIMEOUT);
        }
    }

    /** Asks for what is missing, split over as many shares as it takes. */
    private void ask(final TokenClaim claim, final Moment now) {
        final ShareLimits limits = mHeld.limits(claim.customer()).orElseThrow();
        final List<Integer> slots = mViews.slotsToAsk(claim, limits, now);
        if (slots.isEmpty() && !claim.awaitsAnswers()) {
            refuse(claim, now);
            return;
        }
        long missing = claim.missing();
        final int parts = Math.min(limits.partsOf(missing), slots.size());
        final List<TokenAsk> asks = new ArrayList<>();
        for (int part = parts; part > 0; part--) {
            final long tokens = missing / part;
            missing -= tokens;
            asks.add(open(claim, slots.get(parts - part), tokens, now));
        }
        asks.forEach(ask -> send(claim, ask, now));
    }

    private TokenAsk open(
            final TokenClaim claim, final int slot, final long tokens, final Moment now) {
        final TokenAsk ask =
                new TokenAsk(
                        mNextId++, claim.customer(), slot, tokens, claim.tokens(), claim.isLight());
        claim.sent(ask, now, ANSWER_TIMEOUT);
        mAsks.put(ask.id(), new OpenAsk(claim, ask, now));
        return ask;
    }

    private void send(final TokenClaim claim, final TokenAsk ask, final Moment now) {
        if (claim.isDone()) {
            // The answer of an own share has ended the claim before this part was sent.
            mAsks.remove(ask.id());
        } else if (mHeld.isOwn(ask.slot())) {
            answered(mHeld.answer(mSelf, ask, now), now);
        } else {
            mTransport.ask(holder(ask.slot()), ask);
            scheduleCheck();
        }
    }

    /** Ends a claim that can't be met, as soon as that is sure. */
    private void refuse(final TokenClaim claim, final Moment now) {
        abandon(claim, now);
        if (claim.isUnanswered()) {
            claim.outcome().unknown(UNKNOWN_RETRY);
        } else {
            final ShareLimits limits = mHeld.limits(claim.customer()).orElseThrow();
            claim.outcome().overAllowance(mViews.comeBackAfter(claim, limits, now.steady()));
        }
    }

    /** Ends a claim whose tokens nobody wants any more, and gives back what was issued. */
    private void abandon(final TokenClaim claim, final Moment now) {
        claim.done();
        claim.issued().forEach(ask -> giveBack(ask, now));
    }

    private void giveBack(final TokenAsk ask, final Moment now) {
        if (mHeld.isOwn(ask.slot())) {
            mHeld.giveBack(mSelf, ask, now);
        } else {
            mTransport.giveBack(holder(ask.slot()), ask);
        }
    }

    private InetSocketAddress holder(final int slot) {
        return mHeld.table().orElseThrow().slots().get(slot).holder();
    }

    private TokenStock stock(final String customer) {
        return mStocks.computeIfAbsent(customer, name -> new TokenStock());
    }

    private record OpenAsk(TokenClaim claim, TokenAsk ask, Moment sentAt) {}
}
