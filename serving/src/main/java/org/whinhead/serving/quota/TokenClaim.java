package org.whinhead.serving.quota;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** A request's claim of tokens that is under way. */
final class TokenClaim {

    private final String mCustomer;
    private final long mTokens;
    private final boolean mLight;
    private final Moment mStartedAt;
    private final TokenClaimListener mOutcome;
    private final Map<Long, SentAsk> mOpen = new HashMap<>();
    private final List<IssuedTokens> mIssued = new ArrayList<>();
    private final Set<Integer> mFailed = new HashSet<>();
    private boolean mUnanswered;
    private boolean mDone;

    /**
     * Starts a claim.
     *
     * @param customer the customer
     * @param tokens what its request costs
     * @param light whether it may use what is kept for light requests
     * @param startedAt from when the validity of its tokens is counted
     * @param outcome hears the outcome
     */
    TokenClaim(
            final String customer,
            final long tokens,
            final boolean light,
            final Moment startedAt,
            final TokenClaimListener outcome) {
        mCustomer = customer;
        mTokens = tokens;
        mLight = light;
        mStartedAt = startedAt;
        mOutcome = outcome;
    }

    String customer() {
        return mCustomer;
    }

    long tokens() {
        return mTokens;
    }

    boolean isLight() {
        return mLight;
    }

    Moment startedAt() {
        return mStartedAt;
    }

    TokenClaimListener outcome() {
        return mOutcome;
    }

    void sent(final TokenAsk ask, final Moment at, final Duration timeout) {
        mOpen.put(ask.id(), new SentAsk(ask, at, at.steady().plus(timeout)));
    }

    void issued(final TokenAsk ask, final Moment issuedAfter) {
        mOpen.remove(ask.id());
        mIssued.add(new IssuedTokens(ask, issuedAfter));
    }

    /** Forgets tokens that may no longer be spent: another answer took too long to come. */
    void dropLapsed(final Moment now) {
        mIssued.removeIf(tokens -> TokenStock.isLapsed(tokens.issuedAfter(), now));
        mOpen.values().removeIf(sent -> TokenStock.isLapsed(sent.mAt, now));
    }

    /** No token of this claim was issued earlier. */
    Moment issuedAfter() {
        return mIssued.stream()
                .map(IssuedTokens::issuedAfter)
                .min(Comparator.comparing(Moment::steady))
                .orElse(mStartedAt);
    }

    /** Notes that a share has too few tokens; it is not asked again. */
    void denied(final TokenAsk ask) {
        mOpen.remove(ask.id());
        mFailed.add(ask.slot());
    }

    /** Notes that a holder can't say what a share has; it is not asked again. */
    void notKnown(final TokenAsk ask) {
        denied(ask);
        mUnanswered = true;
    }

    /** Finds an ask whose answer is overdue, once; the answer is still taken if it comes. */
    Optional<TokenAsk> overdue(final Instant now) {
        for (final SentAsk sent : mOpen.values()) {
            if (!sent.mOverdue && !now.isBefore(sent.mAnswerBy)) {
                sent.mOverdue = true;
                mFailed.add(sent.mAsk.slot());
                mUnanswered = true;
                return Optional.of(sent.mAsk);
            }
        }
        return Optional.empty();
    }

    boolean mayAsk(final int slot) {
        return !mFailed.contains(slot);
    }

    /** What is still to be asked for: neither issued nor expected in time. */
    long missing() {
        long missing = mTokens - issuedTokens();
        for (final SentAsk sent : mOpen.values()) {
            missing -= sent.mOverdue ? 0 : sent.mAsk.tokens();
        }
        return Math.max(missing, 0);
    }

    boolean isWhole() {
        return issuedTokens() >= mTokens;
    }

    /** Tokens that were issued beyond what the request costs. */
    long surplus() {
        return issuedTokens() - mTokens;
    }

    private long issuedTokens() {
        return mIssued.stream().mapToLong(tokens -> tokens.ask().tokens()).sum();
    }

    boolean awaitsAnswers() {
        return !mOpen.isEmpty();
    }

    boolean isUnanswered() {
        return mUnanswered;
    }

    List<TokenAsk> issued() {
        return mIssued.stream().map(IssuedTokens::ask).toList();
    }

    boolean isDone() {
        return mDone;
    }

    void done() {
        mDone = true;
    }

    private record IssuedTokens(TokenAsk ask, Moment issuedAfter) {}

    private static final class SentAsk {
        private final TokenAsk mAsk;
        private final Moment mAt;
        private final Instant mAnswerBy;
        private boolean mOverdue;

        private SentAsk(final TokenAsk ask, final Moment at, final Instant answerBy) {
            mAsk = ask;
            mAt = at;
            mAnswerBy = answerBy;
        }
    }
}
