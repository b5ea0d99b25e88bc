package org.whinhead.serving.balance;

/**
 * The typical delays at the endpoints of one service, learnt from its requests: by each running
 * request and each waiting one before the first token, and by each slot's call of a plain service.
 */
final class LearnedCosts {

    /** The weight of all earlier samples after one more: about the last two hundred count. */
    private static final double KEPT = 0.995;

    /** The weight of the data sheet against the spread of the samples' running requests. */
    private static final double SHEET_SPREAD = 400;

    private static final double SHEET_WAITING = 40;
    private static final double SHEET_CALLS = 5;

    /** The bounds of a delay: wrong samples must not make one request count as many or none. */
    private static final double MIN_MILLIS = 0.2;

    private static final double MAX_MILLIS = 60;
    private static final double MAX_CALL_MILLIS = 5_000;

    /** A delay is at most this multiple of the expected one, so that one late token counts less. */
    private static final double MAX_RATIO = 8;

    private final double mSheetRunning;
    private final double mSheetSlot;
    private double mCount;
    private double mRunningSum;
    private double mDelaySum;
    private double mSquares;
    private double mProducts;
    private double mWaiting;
    private double mWaitingDelay;
    private double mCalls;
    private double mCallMillis;

    LearnedCosts(final double runningMillis, final double slotMillis) {
        mSheetRunning = runningMillis;
        mSheetSlot = slotMillis;
        mWaiting = SHEET_WAITING;
        mWaitingDelay = SHEET_WAITING * runningMillis;
        mCalls = SHEET_CALLS;
        mCallMillis = SHEET_CALLS * slotMillis;
    }

    /** Returns the delay by each running request. */
    double runningMillis() {
        if (mCount < 1) {
            return mSheetRunning;
        }
        final double spread = mSquares - mRunningSum * mRunningSum / mCount;
        final double common = mProducts - mRunningSum * mDelaySum / mCount;
        return bounded((common + SHEET_SPREAD * mSheetRunning) / (spread + SHEET_SPREAD));
    }

    /** Returns the delay that doesn't depend on the load. */
    double fixedMillis() {
        return mCount < 1 ? 0 : Math.max((mDelaySum - runningMillis() * mRunningSum) / mCount, 0);
    }

    /** Returns the delay by each request that waits for a slot. */
    double waitingMillis() {
        return bounded(mWaitingDelay / mWaiting);
    }

    /** Returns the time of a call at a plain endpoint with a free slot. */
    double callMillis() {
        return mCallMillis / mCalls;
    }

    private static double bounded(final double millis) {
        return Math.min(Math.max(millis, MIN_MILLIS), MAX_MILLIS);
    }

    /** Returns the delay by the requests at an endpoint before the first token. */
    double loadMillis(final int running, final int slots) {
        final int waiting = Math.max(running - slots, 0);
        return runningMillis() * (running - waiting) + waitingMillis() * waiting;
    }

    /** Returns the time of a call to a plain endpoint, itself included in the running requests. */
    double callMillis(final int running, final int slots) {
        return callMillis() * Math.max(1, (double) running / slots);
    }

    /**
     * Adds the sample of a first token.
     *
     * @param delayMillis the time taken without the prefill, as at a typical endpoint
     * @param running the requests at the endpoint when it was sent
     * @param slots the endpoint's slots
     */
    void addFirstToken(final double delayMillis, final int running, final int slots) {
        final double expected = fixedMillis() + loadMillis(running, slots);
        final double delay = Math.min(Math.max(delayMillis, 0), MAX_RATIO * (expected + 10));
        if (running > slots) {
            final double waiting = running - slots;
            mWaiting = KEPT * mWaiting + waiting;
            mWaitingDelay =
                    KEPT * mWaitingDelay
                            + Math.max(delay - fixedMillis() - runningMillis() * slots, 0);
            return;
        }
        mCount = KEPT * mCount + 1;
        mRunningSum = KEPT * mRunningSum + running;
        mDelaySum = KEPT * mDelaySum + delay;
        mSquares = KEPT * mSquares + (double) running * running;
        mProducts = KEPT * mProducts + running * delay;
    }

    /** Adds the time of a call at a typical plain endpoint. */
    void addCall(final double takenMillis, final int running, final int slots) {
        final double atFreeSlot = takenMillis / Math.max(1, (double) running / slots);
        final double bounded = Math.min(atFreeSlot, MAX_RATIO * callMillis());
        mCalls = KEPT * mCalls + 1;
        mCallMillis = KEPT * mCallMillis + Math.min(bounded, MAX_CALL_MILLIS);
    }
}
