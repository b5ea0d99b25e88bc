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
    private final ClockReading mStartedAt;
    private final TokenClaimListener mListener;
    private final Map<Long, SentRequest> mOpenRequests = new HashMap<>();
    private final List<IssuedTokens> mIssued = new ArrayList<>();
    private final Set<Integer> mFailedSlots = new HashSet<>();
    private boolean mUnanswered;
    private boolean mFinished;

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
            final ClockReading startedAt,
            final TokenClaimListener outcome) {
        mCustomer = customer;
        mTokens = tokens;
        mLight = light;
        mStartedAt = startedAt;
        mListener = outcome;
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

    ClockReading startedAt() {
        return mStartedAt;
    }

    TokenClaimListener listener() {
        return mListener;
    }

    void recordSent(final TokenRequest ask, final ClockReading at, final Duration timeout) {
        mOpenRequests.put(ask.id(), new SentRequest(ask, at, at.steady().plus(timeout)));
    }

    void issued(final TokenRequest ask, final ClockReading issuedAfter) {
        mOpenRequests.remove(ask.id());
        mIssued.add(new IssuedTokens(ask, issuedAfter));
    }

    /** Forgets tokens that may no longer be spent: another answer took too long to come. */
    void dropExpired(final ClockReading now) {
        mIssued.removeIf(tokens -> TokenPool.isExpired(tokens.issuedAfter(), now));
        mOpenRequests.values().removeIf(sent -> TokenPool.isExpired(sent.mSentAt, now));
    }

    /** No token of this claim was issued earlier. */
    ClockReading issuedAfter() {
        return mIssued.stream()
                .map(IssuedTokens::issuedAfter)
                .min(Comparator.comparing(ClockReading::steady))
                .orElse(mStartedAt);
    }

    /** Notes that a share has too few tokens; it is not asked again. */
    void recordDenied(final TokenRequest ask) {
        mOpenRequests.remove(ask.id());
        mFailedSlots.add(ask.slot());
    }

    /** Notes that a holder can't say what a share has; it is not asked again. */
    void recordNotHeld(final TokenRequest ask) {
        recordDenied(ask);
        mUnanswered = true;
    }

    /** Finds an ask whose answer is overdue, once; the answer is still taken if it comes. */
    Optional<TokenRequest> takeOverdue(final Instant now) {
        for (final SentRequest sent : mOpenRequests.values()) {
            if (!sent.mOverdue && !now.isBefore(sent.mDeadline)) {
                sent.mOverdue = true;
                mFailedSlots.add(sent.mRequest.slot());
                mUnanswered = true;
                return Optional.of(sent.mRequest);
            }
        }
        return Optional.empty();
    }

    boolean canAsk(final int slot) {
        return !mFailedSlots.contains(slot);
    }

    /** What is still to be asked for: neither issued nor expected in time. */
    long missingTokens() {
        long missing = mTokens - issuedTokens();
        for (final SentRequest sent : mOpenRequests.values()) {
            missing -= sent.mOverdue ? 0 : sent.mRequest.tokens();
        }
        return Math.max(missing, 0);
    }

    boolean isComplete() {
        return issuedTokens() >= mTokens;
    }

    /** Tokens that were issued beyond what the request costs. */
    long surplusTokens() {
        return issuedTokens() - mTokens;
    }

    private long issuedTokens() {
        return mIssued.stream().mapToLong(tokens -> tokens.request().tokens()).sum();
    }

    boolean hasOpenRequests() {
        return !mOpenRequests.isEmpty();
    }

    boolean hasUnansweredRequest() {
        return mUnanswered;
    }

    List<TokenRequest> issued() {
        return mIssued.stream().map(IssuedTokens::request).toList();
    }

    boolean isFinished() {
        return mFinished;
    }

    void finish() {
        mFinished = true;
    }

    private record IssuedTokens(TokenRequest request, ClockReading issuedAfter) {}

    private static final class SentRequest {
        private final TokenRequest mRequest;
        private final ClockReading mSentAt;
        private final Instant mDeadline;
        private boolean mOverdue;

        private SentRequest(final TokenRequest ask, final ClockReading at, final Instant answerBy) {
            mRequest = ask;
            mSentAt = at;
            mDeadline = answerBy;
        }
    }
}
