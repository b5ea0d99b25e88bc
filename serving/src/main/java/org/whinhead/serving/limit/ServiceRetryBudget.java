package org.whinhead.serving.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Retry budget that bounds the retries of all daemons together.
 *
 * <p>When endpoints fail, every daemon sees it at once, and unbounded retries would multiply the
 * load of an overloaded service. All daemons together may retry a share of the requests plus a
 * fixed number in each window. Each daemon uses the share of its own requests and an equal part of
 * the fixed number, so daemons exchange no messages and a lost daemon frees no budget.
 */
public final class ServiceRetryBudget {

    /** The fraction of the budget in use; the rest covers daemons that count in other windows. */
    private static final double USED_FRACTION = 0.8;

    private final double mRetryShare;
    private final int mFixedRetries;
    private final Duration mWindow;
    private final Map<String, ServiceCounts> mCounts = new HashMap<>();
    private int mDaemonCount;

    /**
     * Creates a budget.
     *
     * @param share the retries allowed per request, from 0 to 1
     * @param fixed the additional retries of all daemons together in each window
     * @param window the length of the sliding window
     */
    public ServiceRetryBudget(final double share, final int fixed, final Duration window) {
        mRetryShare = share;
        mFixedRetries = fixed;
        mWindow = window;
    }

    /**
     * Sets the number of daemons that split the fixed retries; before, this daemon has none.
     *
     * <p>Just after a restart a daemon knows no other one. If it used all fixed retries, daemons
     * that restarted together would exceed the budget many times. So the larger of the known and
     * the expected number is used.
     *
     * @param known the number of known daemons, this one included
     * @param expected the recorded number of daemons of the deployment; 0 if not known
     */
    public void setDaemonCount(final int known, final int expected) {
        mDaemonCount = expected == 0 ? 0 : Math.max(known, expected);
    }

    /**
     * Returns how many of the fixed retries are used, all daemons together.
     *
     * @param fixed the fixed retries in each window
     * @return the retries that are used, at most
     */
    public static int usableFixedRetries(final int fixed) {
        return (int) (USED_FRACTION * fixed);
    }

    private double fixedRetriesPerDaemon() {
        return mDaemonCount == 0 ? 0 : (double) mFixedRetries / mDaemonCount;
    }

    /**
     * Counts a caller's request.
     *
     * @param service the name of the requested service
     * @param now the current time
     */
    public void recordRequest(final String service, final Instant now) {
        counts(service).mRequests.add(now, 1);
    }

    /**
     * Takes one retry from the budget, if one is left.
     *
     * @param service the name of the requested service
     * @param now the current time
     * @return whether the retry is allowed
     */
    public boolean tryRetry(final String service, final Instant now) {
        final ServiceCounts counts = counts(service);
        final double allowed =
                USED_FRACTION
                        * (mRetryShare * counts.mRequests.total(now) + fixedRetriesPerDaemon());
        if (counts.mRetries.total(now) + 1 > allowed) {
            return false;
        }
        counts.mRetries.add(now, 1);
        return true;
    }

    private ServiceCounts counts(final String service) {
        return mCounts.computeIfAbsent(service, name -> new ServiceCounts(mWindow));
    }

    private static final class ServiceCounts {
        private final SlidingWindowSum mRequests;
        private final SlidingWindowSum mRetries;

        private ServiceCounts(final Duration window) {
            mRequests = new SlidingWindowSum(window);
            mRetries = new SlidingWindowSum(window);
        }
    }
}
