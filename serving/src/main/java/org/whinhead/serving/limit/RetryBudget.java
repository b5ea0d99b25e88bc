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
    private static final double USED_PART = 0.8;

    private final double mShare;
    private final int mFixed;
    private final Duration mWindow;
    private final Map<String, Service> mServices = new HashMap<>();
    private int mDaemons;

    /**
     * Makes a budget.
     *
     * @param share retries that each request adds
     * @param fixed retries that all daemons together may add besides, in each window
     * @param window the window
     */
    public RetryBudget(final double share, final int fixed, final Duration window) {
        mShare = share;
        mFixed = fixed;
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
    public void daemons(final int heardOf, final int expected) {
        mDaemons = expected == 0 ? 0 : Math.max(heardOf, expected);
    }

    private double fixedPart() {
        return mDaemons == 0 ? 0 : (double) mFixed / mDaemons;
    }

    /**
     * Counts a caller's request.
     *
     * @param service the service that it goes to
     * @param now the time
     */
    public void request(final String service, final Instant now) {
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
        final Service counts = counts(service);
        final double allowed = USED_PART * (mShare * counts.mRequests.total(now) + fixedPart());
        if (counts.mRetries.total(now) + 1 > allowed) {
            return false;
        }
        counts.mRetries.add(now, 1);
        return true;
    }

    private Service counts(final String service) {
        return mServices.computeIfAbsent(service, name -> new Service(mWindow));
    }

    private static final class Service {
        private final SlidingCount mRequests;
        private final SlidingCount mRetries;

        private Service(final Duration window) {
            mRequests = new SlidingCount(window);
            mRetries = new SlidingCount(window);
        }
    }
}
