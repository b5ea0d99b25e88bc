package org.whinhead.standins.engine;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.whinhead.api.request.PrefixHashes;
import org.whinhead.standins.answer.ExpectedAnswer;

/** The progress and the readers of one generation in an engine. */
public final class EngineStream {

    /** The state of a stream. */
    public enum State {
        /** Queued for a slot in the batch. */
        WAITING(false),
        /** Running in the batch. */
        RUNNING(false),
        /** All tokens are generated. */
        FINISHED(true),
        /** Canceled, exported or lost; no token will follow. */
        STOPPED(true);

        private final boolean mEnded;

        State(final boolean ended) {
            mEnded = ended;
        }

        /** Returns whether no token will follow. */
        public boolean isEnded() {
            return mEnded;
        }
    }

    private final String mId;
    private final Generation mGeneration;
    private final String mText;
    private final int mPromptTokens;
    private final List<String> mTokens = new ArrayList<>();
    private State mState = State.WAITING;
    private int mCachedTokens;
    private int mPrefilledTokens;
    private int mReaders;
    private Instant mReaderlessSince;

    EngineStream(final String id, final Generation generation, final Instant now) {
        mId = id;
        mGeneration = generation;
        mText = generation.prompt() + " " + generation.delivered();
        mPromptTokens = PrefixHashes.countWords(mText);
        mReaderlessSince = now;
    }

    EngineStream(final String id, final KvCache cache, final Instant now) {
        this(id, cache.generation(), now);
        mCachedTokens = cache.cachedTokens();
        mPrefilledTokens = cache.prefilled();
        mTokens.addAll(cache.tokens());
    }

    /** Returns the stream's id. */
    public String id() {
        return mId;
    }

    /** Returns the request. */
    public Generation generation() {
        return mGeneration;
    }

    /** Returns the stream's state. */
    public State state() {
        return mState;
    }

    /** Returns the number of tokens generated here or imported with a KV cache. */
    public int generated() {
        return mTokens.size();
    }

    /** Returns the number of prompt tokens, including delivered text. */
    public int promptTokens() {
        return mPromptTokens;
    }

    /** Returns the number of prompt tokens found in the cache. */
    public int cachedTokens() {
        return mCachedTokens;
    }

    /** Returns the tokens generated so far. */
    public List<String> tokens() {
        return List.copyOf(mTokens);
    }

    /**
     * Returns a generated token.
     *
     * @param index the token's index in the whole answer
     * @return the token's text
     */
    public String token(final long index) {
        return mTokens.get((int) (index - mGeneration.startIndex()));
    }

    /** Returns the index after the last generated token, in the whole answer. */
    public long end() {
        return mGeneration.startIndex() + mTokens.size();
    }

    /** Adds a reader. */
    public void attach() {
        mReaders++;
    }

    /** Removes a reader. */
    public void detach(final Instant now) {
        mReaders--;
        mReaderlessSince = now;
    }

    boolean isAbandonedBefore(final Instant limit) {
        return mReaders == 0 && mReaderlessSince.isBefore(limit);
    }

    void admit(final int cached) {
        mState = State.RUNNING;
        mCachedTokens = cached;
        mPrefilledTokens = cached;
    }

    void resume() {
        mState = State.RUNNING;
    }

    void end(final State state) {
        mState = state;
    }

    int prefillLeft() {
        return mPromptTokens - mPrefilledTokens;
    }

    int prefilled() {
        return mPrefilledTokens;
    }

    void prefill(final int tokens) {
        mPrefilledTokens += tokens;
    }

    boolean isComplete() {
        return mTokens.size() >= mGeneration.maxTokens();
    }

    void generate() {
        mTokens.add(ExpectedAnswer.token(mGeneration.prompt(), end()));
    }

    List<Long> blockHashes() {
        return PrefixHashes.of(mGeneration.model(), mText);
    }

    List<Long> finalBlockHashes() {
        final String whole = mText + " " + String.join("", mTokens);
        return PrefixHashes.of(mGeneration.model(), whole);
    }

    KvCache kvCache() {
        return new KvCache(mGeneration, mCachedTokens, mPrefilledTokens, mTokens);
    }
}
