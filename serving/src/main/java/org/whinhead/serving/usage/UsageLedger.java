package org.whinhead.serving.usage;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Sums the usage counts of all daemons.
 *
 * <p>Every daemon sends its counts of the last windows to every other one several times a second,
 * so that a killed daemon loses only the counts since its last report.
 */
public final class UsageLedger {

    /** The number of windows kept; the report of a window is due two windows later. */
    private static final int KEPT_WINDOWS = 6;

    /** The number of windows sent to other daemons; one is decided two seconds after its end. */
    private static final int REPORTED_WINDOWS = 3;

    private final String mOwnIncarnation;
    private final TreeMap<Long, Map<String, Map<String, Long>>> mWindows = new TreeMap<>();

    /**
     * Creates an empty ledger.
     *
     * @param ownIncarnation the incarnation of this daemon
     */
    public UsageLedger(final String ownIncarnation) {
        mOwnIncarnation = ownIncarnation;
    }

    /**
     * Counts a request that began to run.
     *
     * @param window the number of the window in which the request began
     * @param customer the name of its customer
     */
    public void recordStart(final long window, final String customer) {
        counts(window, mOwnIncarnation).merge(customer, 1L, Long::sum);
    }

    /**
     * Merges a count of another daemon; the larger of two counts is kept.
     *
     * @param incarnation the incarnation of the other daemon
     * @param count its count so far
     */
    public void mergePeerCount(final String incarnation, final UsageCount count) {
        counts(count.window(), incarnation).merge(count.customer(), count.requests(), Math::max);
    }

    /**
     * Returns the sums of all daemons in a window.
     *
     * @param window the number of the window
     * @return the numbers of requests by customer; customers without requests are omitted
     */
    public Map<String, Long> totals(final long window) {
        final Map<String, Long> total = new TreeMap<>();
        for (final Map<String, Long> counts : mWindows.getOrDefault(window, Map.of()).values()) {
            counts.forEach((customer, requests) -> total.merge(customer, requests, Long::sum));
        }
        return total;
    }

    /**
     * Returns this daemon's counts of the windows that may still be decided.
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
