package org.whinhead.serving.endpoint;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Endpoints with a reclaim notice that still serve, for requests that no others can take.
 *
 * <p>Waves of reclaims affect one failure domain after the other, and the replacing endpoints start
 * seconds after the notices end. If all remaining endpoints are leaving, a request that is refused
 * is lost, while one that is sent to a leaving endpoint is answered, or moved as soon as another
 * endpoint has started. Otherwise leaving endpoints get no new work, and none later than 0.7 s
 * after their notice was read. One that says in a response that it leaves gets none at all.
 */
public final class ReclaimedEndpoints {

    /**
     * The time after its notice was read in which an endpoint may get work: a notice is read up to
     * 0.8 s late, 1.2 s if the message about it was lost, and no work may arrive over two seconds
     * after it.
     */
    private static final Duration MAX_USE_AFTER_NOTICE = Duration.ofMillis(700);

    /** The least remaining time: that of a plain call, or of a stream's start and move. */
    private static final Duration MIN_REMAINING = Duration.ofMillis(800);

    private final Map<String, Notice> mNotices = new HashMap<>();

    /**
     * Adds an endpoint that has a reclaim notice.
     *
     * @param entry its entry; it is ignored if the time for which it still serves is unknown
     * @param now the current time
     */
    public void addNotice(final EndpointEntry entry, final Instant now) {
        if (entry.leaving() && entry.leavesIn().isPresent()) {
            mNotices.putIfAbsent(entry.id(), new Notice(entry, now));
        }
    }

    /**
     * Removes an endpoint that no longer serves.
     *
     * @param id the endpoint's id
     */
    public void remove(final String id) {
        mNotices.remove(id);
    }

    /**
     * Returns the endpoints for requests that no other endpoint can take.
     *
     * @param service the service
     * @param now the current time
     * @return its leaving endpoints that still serve long enough
     */
    public List<EndpointEntry> lastResort(final String service, final Instant now) {
        expire(now);
        return mNotices.values().stream()
                .map(Notice::entry)
                .filter(entry -> entry.service().equals(service))
                .toList();
    }

    /**
     * Returns whether an endpoint may still receive a request that no other endpoint can take.
     *
     * @param id the endpoint's id
     * @param now the current time
     * @return true if it leaves and still serves long enough
     */
    public boolean contains(final String id, final Instant now) {
        expire(now);
        return mNotices.containsKey(id);
    }

    private void expire(final Instant now) {
        mNotices.values().removeIf(notice -> now.isAfter(notice.usableUntil()));
    }

    private record Notice(EndpointEntry entry, Instant at) {
        private Instant usableUntil() {
            final Duration served = entry.leavesIn().orElseThrow().minus(MIN_REMAINING);
            return at.plus(
                    served.compareTo(MAX_USE_AFTER_NOTICE) < 0 ? served : MAX_USE_AFTER_NOTICE);
        }
    }
}
