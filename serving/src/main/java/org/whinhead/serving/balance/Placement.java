package org.whinhead.serving.balance;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.function.Consumer;
import org.whinhead.serving.endpoint.EndpointEntry;

/** A request's placement at an endpoint, which counts as load until it is released. */
public final class Placement {

    private final EndpointEntry mEndpoint;
    private final EndpointLoad mLoad;
    private final int mPrefillTokens;
    private final Optional<EndpointEntry> mPromptSource;
    private final Duration mExpectedPrefill;
    private final Consumer<Instant> mOnFirstToken;
    private final Optional<StepTimer> mTimer;
    private boolean mPrefillSkipped;
    private boolean mPrefilled;
    private boolean mReleased;

    Placement(
            final EndpointEntry endpoint,
            final EndpointLoad load,
            final int prefillTokens,
            final Optional<EndpointEntry> promptSource,
            final Duration expectedPrefill,
            final Consumer<Instant> onFirstToken,
            final Optional<StepTimer> timer) {
        mEndpoint = endpoint;
        mLoad = load;
        mPrefillTokens = prefillTokens;
        mPromptSource = promptSource;
        mExpectedPrefill = expectedPrefill;
        mOnFirstToken = onFirstToken;
        mTimer = timer;
    }

    public EndpointEntry endpoint() {
        return mEndpoint;
    }

    /**
     * Returns the endpoint that has more of the prompt cached than this one.
     *
     * @return the endpoint to copy shared parts from instead of prefilling them again
     */
    public Optional<EndpointEntry> promptSource() {
        return mPromptSource;
    }

    /**
     * Returns the expected time for the prefill of the tokens that the endpoint has not cached.
     *
     * @return the time, without waiting for other requests
     */
    public Duration expectedPrefill() {
        return mExpectedPrefill;
    }

    public EndpointLoad load() {
        return mLoad;
    }

    /** Records that the endpoint received the prompt with a moved run, and need not prefill it. */
    public void skipPrefill() {
        mPrefillSkipped = true;
    }

    /**
     * Records that the request is sent to the endpoint.
     *
     * @param now the current time
     */
    public void recordSent(final Instant now) {
        mTimer.ifPresent(timer -> timer.sent(now));
    }

    /**
     * Records a token; with the first one, the prompt no longer delays other requests.
     *
     * @param now the current time
     */
    public void recordToken(final Instant now) {
        if (!mPrefilled && !mReleased && !mPrefillSkipped) {
            mOnFirstToken.accept(now);
            mTimer.ifPresent(timer -> timer.firstToken(now));
        }
        finishPrefill();
        if (!mReleased) {
            mTimer.ifPresent(timer -> timer.token(now));
        }
    }

    /** Records that the caller delays the tokens: their times don't show the endpoint's speed. */
    public void recordCallerDelay() {
        mTimer.ifPresent(StepTimer::interrupt);
    }

    /**
     * Records a complete response without a failure.
     *
     * @param plain whether it is the response of a plain service
     * @param now the current time
     */
    public void recordCompleted(final boolean plain, final Instant now) {
        if (!mReleased) {
            mTimer.ifPresent(timer -> timer.completed(plain, now));
        }
    }

    private void finishPrefill() {
        if (!mPrefilled) {
            mPrefilled = true;
            mLoad.recordPrefill(mPrefillTokens);
        }
    }

    /** Removes the request from the endpoint's load. */
    public void release() {
        if (!mReleased) {
            mReleased = true;
            finishPrefill();
            mLoad.recordEnd();
        }
    }
}
