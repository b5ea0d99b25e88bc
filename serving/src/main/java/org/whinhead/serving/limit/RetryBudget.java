package org.whinhead.serving.limit;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;

/**
 * Decides whether a request may be sent once more.
 *
 * <p>When endpoints fail, every daemon sees it at once, and unbounded retries would multiply the
 * load of a service that is already short. All daemons together may add a share of the requests and
 * a fixed number beside; each daemon takes the share of its own requests and an equal part of the
 * fixed number, so that no message between them is needed and a lost daemon frees nothing.
 */
public final class RetryBudget {

    /** The part of the budget that is used; the rest covers daemons that count in other windows. */
    private static final double USED_FRACTION = 0.8;

    private final double mRetryShare;
    private final int mFixedRetries;
    private final Duration mWindow;
    private final Map<String, ServiceCounts> mCounts = new HashMap<>();
    private int mDaemonCount;

    /**
     * Makes a budget.
     *
     * @param share retries that each request adds
     * @param fixed retries that all daemons together may add besides, in each window
     * @param window the window
     */
    public RetryBudget(final double share, final int fixed, final Duration window) {
        mRetryShare = share;
        mFixedRetries = fixed;
        mWindow = window;
    }

    /**
     * Sets among how many daemons the fixed number is split; until then nobody has a part of it.
     *
     * <p>Just after a restart a daemon has heard of no other one. If it took the whole number for
     * itself, all daemons that were restarted together would repeat many times what they may. So it
     * goes by what was written down of the deployment, if that is more.
     *
     * @param heardOf the daemons that this one has heard of, itself included
     * @param expected the daemons that the deployment is known to have had; 0 if that is not known
     */
    public void setDaemonCount(final int heardOf, final int expected) {
        mDaemonCount = expected == 0 ? 0 : Math.max(heardOf, expected);
    }

    private double fixedRetriesPerDaemon() {
        return mDaemonCount == 0 ? 0 : (double) mFixedRetries / mDaemonCount;
    }

    /**
     * Counts a caller's request.
     *
     * @param service the service that it goes to
     * @param now the time
     */
    public void recordRequest(final String service, final Instant now) {
        counts(service).mRequests.add(now, 1);
    }

    /**
     * Takes one retry from the budget.
     *
     * @param service the service that it goes to
     * @param now the time
     * @return whether there was one left
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
