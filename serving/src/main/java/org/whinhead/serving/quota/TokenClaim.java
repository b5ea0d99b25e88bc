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

/** State of a pending claim for the tokens of one caller's request. */
final class TokenClaim {

    private final String mCustomer;
    private final long mTokens;
    private final boolean mLight;
    private final ClockReading mStartedAt;
    private final TokenClaimListener mListener;
    private final Map<Long, SentRequest> mOpenRequests = new HashMap<>();
    private final List<IssuedTokens> mIssued = new ArrayList<>();
    private final Set<Integer> mFailedSlots = new HashSet<>();
    private final List<TokenRequest> mDenied = new ArrayList<>();
    private boolean mSplit;
    private boolean mUnanswered;
    private boolean mFinished;

    /**
     * Creates a claim without tokens.
     *
     * @param customer the customer's name
     * @param tokens the cost of the caller's request, in tokens
     * @param light whether the claim may use the reserve for light requests
     * @param startedAt the time from which the timeout and the validity of tokens count
     * @param listener receives the outcome
     */
    TokenClaim(
            final String customer,
            final long tokens,
            final boolean light,
            final ClockReading startedAt,
            final TokenClaimListener listener) {
        mCustomer = customer;
        mTokens = tokens;
        mLight = light;
        mStartedAt = startedAt;
        mListener = listener;
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

    void recordSent(final TokenRequest request, final ClockReading sentAt, final Duration timeout) {
        mOpenRequests.put(
                request.id(), new SentRequest(request, sentAt, sentAt.steady().plus(timeout)));
    }

    void recordIssued(final TokenRequest request, final ClockReading issuedAfter) {
        mOpenRequests.remove(request.id());
        mIssued.add(new IssuedTokens(request, issuedAfter));
    }

    /** Drops tokens that expired while other responses were pending, and expired requests. */
    void dropExpired(final ClockReading now) {
        mIssued.removeIf(tokens -> TokenPool.isExpired(tokens.issuedAfter(), now));
        mOpenRequests.values().removeIf(sent -> TokenPool.isExpired(sent.mSentAt, now));
    }

    /** Returns a time before which no token of this claim was issued. */
    ClockReading issuedAfter() {
        return mIssued.stream()
                .map(IssuedTokens::issuedAfter)
                .min(Comparator.comparing(ClockReading::steady))
                .orElse(mStartedAt);
    }

    /** Records that a share has too few tokens; the claim asks it again only for a smaller part. */
    void recordDenied(final TokenRequest request) {
        mOpenRequests.remove(request.id());
        mFailedSlots.add(request.slot());
        mDenied.add(request);
    }

    /** Records that a daemon does not hold a share; the claim does not ask it again. */
    void recordNotHeld(final TokenRequest request) {
        mOpenRequests.remove(request.id());
        mFailedSlots.add(request.slot());
        mUnanswered = true;
    }

    /** Returns the requests for which a share had too few tokens. */
    List<TokenRequest> deniedRequests() {
        return List.copyOf(mDenied);
    }

    /**
     * Begins to ask the shares that had too few tokens for smaller parts.
     *
     * @return false if the claim did so before
     */
    boolean beginSplit() {
        if (mSplit) {
            return false;
        }
        mSplit = true;
        mDenied.forEach(request -> mFailedSlots.remove(request.slot()));
        return true;
    }

    /** Returns each request without a response in time once; a late response is still used. */
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

    /** Returns the tokens still to request: neither issued nor expected in time. */
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

    /** Returns the tokens issued beyond the cost of the request. */
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

    List<TokenRequest> issuedRequests() {
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

        private SentRequest(
                final TokenRequest request, final ClockReading sentAt, final Instant deadline) {
            mRequest = request;
            mSentAt = sentAt;
            mDeadline = deadline;
        }
    }
}
