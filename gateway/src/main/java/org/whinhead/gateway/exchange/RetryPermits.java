package org.whinhead.gateway.exchange;

import java.time.Duration;
import java.time.Instant;

/** Decides whether one request may be sent to another endpoint. */
final class RetryPermits {

    /** With less time left than this, an attempt is not worth its cost. */
    static final Duration MIN_TIME_LEFT = Duration.ofMillis(30);

    private final Exchanges mExchanges;
    private final AdmittedRequest mAdmission;
    private final String mService;

    RetryPermits(final Exchanges exchanges, final AdmittedRequest admission, final String service) {
        mExchanges = exchanges;
        mAdmission = admission;
        mService = service;
    }

    private Instant now() {
        return mExchanges.state().clock().instant();
    }

    /**
     * Returns whether another attempt may bring an answer in time.
     *
     * @param sends the attempts that were made
     * @param started whether a part of an answer was forwarded
     */
    boolean isUseful(final int sends, final boolean started) {
        return sends < mAdmission.route().maxAttempts()
                && Duration.between(now(), mAdmission.deadline()).compareTo(MIN_TIME_LEFT) > 0
                && (!started || mAdmission.route().kind().isStream());
    }

    /** Returns whether another attempt is allowed, and charges it to the retry budget if so. */
    boolean acquire(final int sends, final boolean started) {
        if (!isUseful(sends, started)) {
            return false;
        }
        final boolean allowed = mExchanges.state().retryBudget().tryRetry(mService, now());
        if (!allowed) {
            mExchanges.requestLogger().retryDenied(mService);
        }
        return allowed;
    }
}
