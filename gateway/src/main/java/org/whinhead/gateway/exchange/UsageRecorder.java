package org.whinhead.gateway.exchange;

import java.time.Duration;
import java.time.Instant;

/** Counts the usage of one request, once, in the window in which the request began to run. */
final class UsageRecorder {

    private final ServingState mState;
    private final AdmittedRequest mAdmission;
    private boolean mCounted;

    UsageRecorder(final ServingState state, final AdmittedRequest admission) {
        mState = state;
        mAdmission = admission;
    }

    /**
     * Records that the request has run or is running.
     *
     * @param sentAt the time at which it was sent to the endpoint that ran it
     */
    void recordRun(final Instant sentAt) {
        if (mCounted) {
            return;
        }
        mCounted = true;
        final Instant now = mState.usageClock().instant();
        // A stream begins with its first event, which has just arrived; any other request when it
        // is sent.
        final Instant began =
                mAdmission.route().kind().isStream()
                        ? now
                        : now.minus(Duration.between(sentAt, mState.clock().instant()));
        mAdmission
                .customerName()
                .ifPresent(
                        customer ->
                                mState.usage()
                                        .recordStart(
                                                mState.usageWindows().windowAt(began), customer));
    }
}
