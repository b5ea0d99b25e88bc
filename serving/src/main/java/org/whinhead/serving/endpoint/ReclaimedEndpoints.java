package org.whinhead.serving.endpoint;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Endpoints that were reclaimed a moment ago and still serve, for requests that nobody else can
 * take.
 *
 * <p>Waves of reclaims take one failure domain after the other, and the endpoints that replace them
 * start seconds later than the notices end. Where all that is left is leaving, a request that is
 * refused is lost, and one that is sent there is answered, or moved as soon as another endpoint is
 * up. Leaving endpoints get no new work otherwise, and none later than 0.7 s after their notice was
 * read.
 */
public final class ReclaimedEndpoints {

    /**
     * How long after its notice was read an endpoint may get work: a notice is read up to 0.8 s
     * late, 1.2 s where the news of it was lost, and no work may arrive later than two seconds
     * after it.
     */
    private static final Duration MAX_USE_AFTER_NOTICE = Duration.ofMillis(700);

    /** What is left of a notice at least: a plain call, or the start of a stream and its move. */
    private static final Duration MIN_REMAINING = Duration.ofMillis(800);

    private final Map<String, Notice> mNotices = new HashMap<>();

    /**
     * Notes that an endpoint leaves.
     *
     * @param entry its entry; one that doesn't say how much longer it serves is not used
     * @param now the time
     */
    public void addNotice(final EndpointEntry entry, final Instant now) {
        if (entry.leaving() && entry.leavesIn().isPresent()) {
            mNotices.putIfAbsent(entry.id(), new Notice(entry, now));
        }
    }

    /**
     * Notes that an endpoint is gone.
     *
     * @param id its id
     */
    public void remove(final String id) {
        mNotices.remove(id);
    }

    /**
     * Lists endpoints for requests that no other endpoint can take.
     *
     * @param service the service
     * @param now the time
     * @return its endpoints that still serve long enough
     */
    public List<EndpointEntry> lastResort(final String service, final Instant now) {
        mNotices.values().removeIf(notice -> now.isAfter(notice.usableUntil()));
        return mNotices.values().stream()
                .map(Notice::entry)
                .filter(entry -> entry.service().equals(service))
                .toList();
    }

    private record Notice(EndpointEntry entry, Instant at) {
        private Instant usableUntil() {
            final Duration served = entry.leavesIn().orElseThrow().minus(MIN_REMAINING);
            return at.plus(
                    served.compareTo(MAX_USE_AFTER_NOTICE) < 0 ? served : MAX_USE_AFTER_NOTICE);
        }
    }
}
