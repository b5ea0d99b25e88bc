package org.whinhead.serving.usage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Sums the usage of all daemons.
 *
 * <p>Every daemon sends its counts of the last windows to every other one several times a second,
 * so that a killed daemon's counts survive at the others, but for its last moment.
 */
public final class UsageLedger {

    /** Windows that are kept: a report is due two windows after its own. */
    private static final int KEPT_WINDOWS = 6;

    /** Windows that are reported: a window is decided two seconds after its end. */
    private static final int REPORTED_WINDOWS = 3;

    private final String mOwnIncarnation;
    private final TreeMap<Long, Map<String, Map<String, Long>>> mWindows = new TreeMap<>();

    /**
     * Makes an empty ledger.
     *
     * @param ownIncarnation names this daemon's process
     */
    public UsageLedger(final String ownIncarnation) {
        mOwnIncarnation = ownIncarnation;
    }

    /**
     * Counts a request that began to run.
     *
     * @param window the window in which it began
     * @param customer its customer
     */
    public void recordStart(final long window, final String customer) {
        counts(window, mOwnIncarnation).merge(customer, 1L, Long::sum);
    }

    /**
     * Takes what another daemon counted.
     *
     * @param incarnation the other daemon's process
     * @param count its count so far
     */
    public void mergePeerCount(final String incarnation, final UsageCount count) {
        counts(count.window(), incarnation).merge(count.customer(), count.requests(), Math::max);
    }

    /**
     * Sums a window.
     *
     * @param window the window
     * @return requests by customer; customers without any are left out
     */
    public Map<String, Long> totals(final long window) {
        final Map<String, Long> total = new TreeMap<>();
        for (final Map<String, Long> counts : mWindows.getOrDefault(window, Map.of()).values()) {
            counts.forEach((customer, requests) -> total.merge(customer, requests, Long::sum));
        }
        return total;
    }

    /**
     * Lists this daemon's own counts of the windows that may still be decided.
     *
     * @return the counts
     */
    public List<UsageCount> ownCounts() {
        final List<UsageCount> own = new ArrayList<>();
        if (mWindows.isEmpty()) {
            return own;
        }
        mWindows.tailMap(mWindows.lastKey() - REPORTED_WINDOWS, false)
                .forEach(
                        (window, daemons) ->
                                daemons.getOrDefault(mOwnIncarnation, Map.of())
                                        .forEach(
                                                (customer, requests) ->
                                                        own.add(
                                                                new UsageCount(
                                                                        window, customer,
                                                                        requests))));
        return own;
    }

    private Map<String, Long> counts(final long window, final String incarnation) {
        final Map<String, Long> counts =
                mWindows.computeIfAbsent(window, number -> new HashMap<>())
                        .computeIfAbsent(incarnation, name -> new HashMap<>());
        mWindows.headMap(mWindows.lastKey() - KEPT_WINDOWS).clear();
        return counts;
    }
}
