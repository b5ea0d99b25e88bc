package org.whinhead.serving.balance;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Consumer;
import org.whinhead.serving.endpoint.EndpointEntry;

/** A request's place at an endpoint; its load counts until the request has left. */
public final class Placement {

    private final EndpointEntry mEndpoint;
    private final EndpointLoad mLoad;
    private final int mPrefillTokens;
    private final Optional<EndpointEntry> mPromptSource;
    private final Duration mExpectedPrefill;
    private final Consumer<Instant> mOnFirstToken;
    private boolean mPrefillSkipped;
    private boolean mPrefilled;
    private boolean mReleased;

    Placement(
            final EndpointEntry endpoint,
            final EndpointLoad load,
            final int unreadTokens,
            final Optional<EndpointEntry> promptSource,
            final Duration expectedReading,
            final Consumer<Instant> onFirstToken) {
        mEndpoint = endpoint;
        mLoad = load;
        mPrefillTokens = unreadTokens;
        mPromptSource = promptSource;
        mExpectedPrefill = expectedReading;
        mOnFirstToken = onFirstToken;
    }

    public EndpointEntry endpoint() {
        return mEndpoint;
    }

    /**
     * Names the endpoint that has more of the prompt cached than this one.
     *
     * @return where this one should copy shared parts from instead of reading them again
     */
    public Optional<EndpointEntry> promptSource() {
        return mPromptSource;
    }

    /**
     * Tells how long the endpoint reads of the prompt that it has not cached.
     *
     * @return the time without waiting for others
     */
    public Duration expectedPrefill() {
        return mExpectedPrefill;
    }

    public EndpointLoad load() {
        return mLoad;
    }

    /** Notes that the endpoint got the prompt with a moved run, and need not read it. */
    public void skipPrefill() {
        mPrefillSkipped = true;
    }

    /**
     * Notes the first token: the prompt no longer delays others.
     *
     * @param now the time
     */
    public void recordFirstToken(final Instant now) {
        if (!mPrefilled && !mReleased && !mPrefillSkipped) {
            mOnFirstToken.accept(now);
        }
        finishPrefill();
    }

    private void finishPrefill() {
        if (!mPrefilled) {
            mPrefilled = true;
            mLoad.recordPrefill(mPrefillTokens);
        }
    }

    /** Notes that the endpoint no longer works on the request. */
    public void release() {
        if (!mReleased) {
            mReleased = true;
            finishPrefill();
            mLoad.recordEnd();
        }
    }
}
