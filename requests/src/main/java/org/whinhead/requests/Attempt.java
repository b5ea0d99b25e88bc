package org.whinhead.requests;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.request.AttemptId;

/** One attempt in progress, with its place in the answer. */
final class Attempt {

    private final AttemptId mId;
    private final Endpoint mEndpoint;
    private final AttemptKind mKind;
    private final Instant mStartedAt;
    private final long mFirstIndex;
    private final Map<Long, String> mEarly = new HashMap<>();
    private String mStreamId = "";
    private long mNextIndex;
    private int mCheckedCharacters;
    private boolean mChecking;
    private long mTokens;
    private Instant mHeardAt;
    private Optional<RecoveryCause> mCause = Optional.empty();
    private long mRecomputed;
    private Optional<AttemptEvent.Finished> mHeldEnd = Optional.empty();

    Attempt(
            final AttemptId id,
            final Endpoint endpoint,
            final AttemptKind kind,
            final long firstIndex,
            final long nextIndex,
            final Instant startedAt) {
        mId = id;
        mEndpoint = endpoint;
        mKind = kind;
        mFirstIndex = firstIndex;
        mNextIndex = nextIndex;
        mStartedAt = startedAt;
        mHeardAt = startedAt;
        mChecking = kind == AttemptKind.START;
    }

    AttemptId id() {
        return mId;
    }

    Endpoint endpoint() {
        return mEndpoint;
    }

    AttemptKind kind() {
        return mKind;
    }

    Instant startedAt() {
        return mStartedAt;
    }

    /** Returns the first index of the answer that the stream holds. */
    long firstIndex() {
        return mFirstIndex;
    }

    String streamId() {
        return mStreamId;
    }

    boolean hasStream() {
        return !mStreamId.isEmpty();
    }

    void setStreamId(final String streamId) {
        mStreamId = streamId;
    }

    /** Returns the index of the token that comes next. */
    long nextIndex() {
        return mNextIndex;
    }

    /** Moves on by one token. */
    void advance() {
        mNextIndex++;
        mTokens++;
    }

    /** Returns how many tokens this attempt brought. */
    long receivedTokens() {
        return mTokens;
    }

    Instant lastEventAt() {
        return mHeardAt;
    }

    void recordEvent(final Instant now) {
        mHeardAt = now;
    }

    /** Returns why this attempt repeats work, if it does. */
    Optional<RecoveryCause> cause() {
        return mCause;
    }

    /** Returns how many tokens this attempt computes again, before caches are taken off. */
    long recomputedTokens() {
        return mRecomputed;
    }

    void setRecomputedTokens(final RecoveryCause cause, final long tokens) {
        mCause = Optional.of(cause);
        mRecomputed = tokens;
    }

    /** Returns the end of the stream, if it has overtaken tokens that are still missing. */
    Optional<AttemptEvent.Finished> deferredEnd() {
        return mHeldEnd;
    }

    void deferEnd(final AttemptEvent.Finished end) {
        mHeldEnd = Optional.of(end);
    }

    /** Returns how much of the delivered text a restarted answer has repeated so far. */
    int checkedCharacters() {
        return mCheckedCharacters;
    }

    /** Tells whether the stream began at index 0 and its repetition is still being compared. */
    boolean isComparingText() {
        return mChecking;
    }

    void stopComparingText() {
        mChecking = false;
    }

    void addCheckedCharacters(final int characters) {
        mCheckedCharacters += characters;
    }

    /** Keeps a token that overtook others; returns how many are kept. */
    int bufferEarlyToken(final long index, final String text) {
        mEarly.put(index, text);
        return mEarly.size();
    }

    /** Takes out the kept token that comes next, or null. */
    String removeNextEarlyToken() {
        return mEarly.remove(mNextIndex);
    }
}
