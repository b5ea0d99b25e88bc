package org.whinhead.serving.balance;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.whinhead.serving.endpoint.EndpointEntry;

/** How many endpoints of a service run each of several software versions side by side. */
final class VersionCounts {

    private static final VersionCounts ONE_VERSION = new VersionCounts(Map.of());

    private final Map<String, Integer> mCounts;

    private VersionCounts(final Map<String, Integer> counts) {
        mCounts = counts;
    }

    /** Counts the versions of endpoints; cheap in the usual case that all have the same one. */
    static VersionCounts of(final List<EndpointEntry> endpoints) {
        if (endpoints.isEmpty() || haveOneVersion(endpoints)) {
            return ONE_VERSION;
        }
        final Map<String, Integer> counts = new HashMap<>();
        for (final EndpointEntry endpoint : endpoints) {
            counts.merge(endpoint.version(), 1, Integer::sum);
        }
        return new VersionCounts(counts);
    }

    private static boolean haveOneVersion(final List<EndpointEntry> endpoints) {
        final String first = endpoints.get(0).version();
        return endpoints.stream().allMatch(endpoint -> endpoint.version().equals(first));
    }

    /** Returns whether no other endpoint runs an endpoint's version, while others run another. */
    boolean isOnlyOne(final EndpointEntry endpoint) {
        return mCounts.getOrDefault(endpoint.version(), 0) == 1;
    }
}
