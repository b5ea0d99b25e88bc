package org.whinhead.gateway.exchange;

import java.time.Duration;
import java.time.Instant;

/** Counts one request as used, once, in the window in which it began to run. */
final class UsageRecorder {

    private final ServingState mState;
    private final Admission mAdmission;
    private boolean mCounted;

    UsageRecorder(final ServingState state, final Admission admission) {
        mState = state;
        mAdmission = admission;
    }

    /**
     * Notes that the request has run, or is running.
     *
     * @param sentAt when it was sent to the endpoint that shows it
     */
    void recordRun(final Instant sentAt) {
        if (mCounted) {
            return;
        }
        mCounted = true;
        final Instant now = mState.usageClock().instant();
        // A stream begins with its first event, which is here; another request when it is sent.
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
