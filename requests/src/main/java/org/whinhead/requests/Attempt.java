package org.whinhead.requests;

import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.request.AttemptId;

/** An attempt in progress, with its position in the answer. */
final class Attempt {

    private final AttemptId mId;
    private final Endpoint mEndpoint;
    private final AttemptKind mKind;
    private final Instant mStartedAt;
    private final long mFirstIndex;
    private final Map<Long, String> mEarlyTokens = new HashMap<>();
    private String mStreamId = "";
    private long mNextIndex;
    private int mCheckedCharacters;
    private boolean mComparingText;
    private long mReceivedTokens;
    private Instant mLastEventAt;
    private Optional<RecoveryCause> mCause = Optional.empty();
    private long mRecomputedTokens;
    private Optional<AttemptEvent.Finished> mDeferredEnd = Optional.empty();

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
        mLastEventAt = startedAt;
        mComparingText = kind == AttemptKind.START;
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

    /** Returns the answer index of the first token in the stream. */
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

    /** Returns the answer index of the next expected token. */
    long nextIndex() {
        return mNextIndex;
    }

    /** Advances the position by one token. */
    void advance() {
        mNextIndex++;
        mReceivedTokens++;
    }

    /** Returns the number of tokens accepted from this attempt. */
    long receivedTokens() {
        return mReceivedTokens;
    }

    Instant lastEventAt() {
        return mLastEventAt;
    }

    void recordEvent(final Instant now) {
        mLastEventAt = now;
    }

    /** Returns the reason why this attempt repeats work, if it does. */
    Optional<RecoveryCause> cause() {
        return mCause;
    }

    /** Returns the number of recomputed tokens, before cached tokens are subtracted. */
    long recomputedTokens() {
        return mRecomputedTokens;
    }

    void setRecomputedTokens(final RecoveryCause cause, final long tokens) {
        mCause = Optional.of(cause);
        mRecomputedTokens = tokens;
    }

    /** Returns the end of the stream, if it arrived before some of the tokens. */
    Optional<AttemptEvent.Finished> deferredEnd() {
        return mDeferredEnd;
    }

    void deferEnd(final AttemptEvent.Finished end) {
        mDeferredEnd = Optional.of(end);
    }

    /** Returns the number of delivered characters that a restarted answer has repeated so far. */
    int checkedCharacters() {
        return mCheckedCharacters;
    }

    /**
     * Returns whether the stream began at index 0 and is still compared with the delivered text.
     */
    boolean isComparingText() {
        return mComparingText;
    }

    void stopComparingText() {
        mComparingText = false;
    }

    void addCheckedCharacters(final int characters) {
        mCheckedCharacters += characters;
    }

    /** Buffers a token that arrived out of order; returns the number of buffered tokens. */
    int bufferEarlyToken(final long index, final String text) {
        mEarlyTokens.put(index, text);
        return mEarlyTokens.size();
    }

    /** Removes and returns the text of the next expected token, or null if it is not buffered. */
    String removeNextEarlyToken() {
        return mEarlyTokens.remove(mNextIndex);
    }
}
