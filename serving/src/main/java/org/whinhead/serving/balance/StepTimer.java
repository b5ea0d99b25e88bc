package org.whinhead.serving.balance;

import java.time.Duration;
import java.time.Instant;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.speed.EndpointSpeeds;
import org.whinhead.serving.speed.SpeedKind;
import org.whinhead.serving.speed.SpeedSample;

/** Measures the steps of one request at its endpoint as samples of the endpoint's speed. */
final class StepTimer {

    /**
     * The expected time between tokens. Any number does, as samples are compared with the typical
     * ones of the service at that load.
     */
    private static final Duration TOKEN_TIME = Duration.ofMillis(20);

    /** The time over which tokens are counted: several arrive in one packet. */
    private static final Duration WINDOW = Duration.ofMillis(100);

    private static final int MIN_WINDOW_TOKENS = 2;

    /** The tokens of a stream that ended early from which they show the speed. */
    private static final int MIN_LAST_TOKENS = 4;

    private static final double NANOS_PER_MILLI = 1e6;

    private final EndpointSpeeds mSpeeds;
    private final LearnedCosts mCosts;
    private final EndpointEntry mEndpoint;
    private final EndpointLoad mLoad;
    private final double mPrefillMillis;
    private int mRunning;
    private Instant mSentAt;
    private Instant mWindowStart;
    private int mWindowTokens;

    /**
     * Creates a timer of a request that is about to be sent.
     *
     * @param speeds receives the samples
     * @param costs the typical delays of the service, which receive samples as well
     * @param endpoint the request's endpoint
     * @param load the load there, with this request
     * @param prefillMillis the time of a typical endpoint for the prompts ahead and this one
     * @param now the current time
     */
    StepTimer(
            final EndpointSpeeds speeds,
            final LearnedCosts costs,
            final EndpointEntry endpoint,
            final EndpointLoad load,
            final double prefillMillis,
            final Instant now) {
        mSpeeds = speeds;
        mCosts = costs;
        mEndpoint = endpoint;
        mLoad = load;
        mPrefillMillis = prefillMillis;
        mRunning = load.running();
        mSentAt = now;
    }

    /** Records that the request is sent now, and not when its endpoint was chosen. */
    void sent(final Instant now) {
        mSentAt = now;
        mRunning = mLoad.running();
    }

    void firstToken(final Instant now) {
        final Duration taken = Duration.between(mSentAt, now);
        final double expected =
                mPrefillMillis + mCosts.fixedMillis() + mCosts.loadMillis(others(), slots());
        final double typicalMillis = millis(taken) / slowness(now);
        mCosts.addFirstToken(typicalMillis - mPrefillMillis, others(), slots());
        record(SpeedKind.FIRST_TOKEN, expected, taken, mRunning, now);
    }

    /** Records a token of a stream, the first one included. */
    void token(final Instant now) {
        if (mWindowStart == null) {
            mWindowStart = now;
            return;
        }
        mWindowTokens++;
        if (mWindowTokens >= MIN_WINDOW_TOKENS
                && Duration.between(mWindowStart, now).compareTo(WINDOW) >= 0) {
            endWindow(now);
        }
    }

    private void endWindow(final Instant now) {
        record(
                SpeedKind.BETWEEN_TOKENS,
                millis(TOKEN_TIME) * mWindowTokens,
                Duration.between(mWindowStart, now),
                mLoad.running(),
                now);
        mWindowStart = now;
        mWindowTokens = 0;
    }

    /** Discards the tokens of the window: something else than the endpoint delays them. */
    void interrupt() {
        mWindowStart = null;
        mWindowTokens = 0;
    }

    /** Records the complete response. */
    void completed(final boolean plain, final Instant now) {
        if (plain) {
            final Duration taken = Duration.between(mSentAt, now);
            final double expected = mCosts.callMillis(mRunning, slots());
            mCosts.addCall(millis(taken) / slowness(now), mRunning, slots());
            record(SpeedKind.CALL, expected, taken, mRunning, now);
        } else if (mWindowTokens >= MIN_LAST_TOKENS) {
            endWindow(now);
        }
    }

    private int others() {
        return Math.max(mRunning - 1, 0);
    }

    private int slots() {
        return mEndpoint.slots();
    }

    private double slowness(final Instant now) {
        return mSpeeds.slowness(mEndpoint.service(), mEndpoint.id(), now);
    }

    private static double millis(final Duration duration) {
        return duration.toNanos() / NANOS_PER_MILLI;
    }

    private void record(
            final SpeedKind kind,
            final double expectedMillis,
            final Duration taken,
            final int running,
            final Instant now) {
        if (taken.isNegative()) {
            return;
        }
        final long expectedNanos = Math.max((long) (expectedMillis * NANOS_PER_MILLI), 1);
        mSpeeds.record(
                SpeedSample.builder(mEndpoint.service(), mEndpoint.id())
                        .kind(kind)
                        .times(Duration.ofNanos(expectedNanos), taken)
                        .running(Math.min(running, slots()))
                        .build(),
                now);
    }
}
