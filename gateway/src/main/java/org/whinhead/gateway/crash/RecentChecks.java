package org.whinhead.gateway.crash;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.whinhead.gateway.crash.CrashDetector.LostRequest;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.endpoint.EndpointStart;

/** The last results of the checks of endpoints, as later checks may show that they were early. */
final class RecentChecks {

    /**
     * The time within which checks of one start of an endpoint concern one crash. A process may
     * accept connections for some milliseconds while it ends, and the event loop of a busy daemon
     * is late. A process takes longer than this to start again.
     */
    static final Duration MEMORY = Duration.ofMillis(100);

    /** Bounds the memory; more than the requests that one daemon has on several endpoints. */
    private static final int MAX_ACCEPTED = 512;

    private final Deque<Accepted> mAccepted = new ArrayDeque<>();
    private final Map<EndpointStart, Instant> mCrashedAt = new HashMap<>();

    private record Accepted(EndpointEntry endpoint, LostRequest request, Instant at) {}

    /** Remembers requests whose endpoint has accepted another connection. */
    void addAccepted(
            final EndpointEntry endpoint, final List<LostRequest> requests, final Instant now) {
        releaseOutdated(now);
        requests.forEach(request -> mAccepted.add(new Accepted(endpoint, request, now)));
        while (mAccepted.size() > MAX_ACCEPTED) {
            mAccepted.remove();
        }
    }

    /** Remembers that an endpoint has crashed. */
    void markCrashed(final EndpointStart start, final Instant now) {
        mCrashedAt.put(start, now);
    }

    /**
     * Removes the requests that were checked shortly before an endpoint was found to have crashed.
     *
     * @return the requests in the order of their checks
     */
    List<LostRequest> takeAccepted(final EndpointStart start, final Instant now) {
        releaseOutdated(now);
        final List<LostRequest> checked = new ArrayList<>();
        for (final Iterator<Accepted> each = mAccepted.iterator(); each.hasNext(); ) {
            final Accepted accepted = each.next();
            if (EndpointStart.of(accepted.endpoint()).equals(start)) {
                checked.add(accepted.request());
                each.remove();
            }
        }
        return checked;
    }

    /** Returns the newest entry of an endpoint at which requests were lost and it was found up. */
    Optional<EndpointEntry> findAccepted(final String endpoint, final Instant now) {
        releaseOutdated(now);
        return mAccepted.stream()
                .map(Accepted::endpoint)
                .filter(entry -> entry.id().equals(endpoint))
                .reduce((earlier, later) -> later);
    }

    /** Returns whether an endpoint has crashed so shortly ago that a lost request was on it. */
    boolean hasCrashed(final EndpointStart start, final Instant now) {
        final Instant crashedAt = mCrashedAt.get(start);
        return crashedAt != null && !isOutdated(crashedAt, now);
    }

    /** Forgets what no later check can concern. */
    void releaseOutdated(final Instant now) {
        while (!mAccepted.isEmpty() && isOutdated(mAccepted.peek().at(), now)) {
            mAccepted.remove();
        }
        mCrashedAt.values().removeIf(crashedAt -> isOutdated(crashedAt, now));
    }

    private static boolean isOutdated(final Instant time, final Instant now) {
        return !now.isBefore(time.plus(MEMORY));
    }
}
