package org.whinhead.serving.stream;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The streams whose origin this daemon knows: its own, and those of which others have told it.
 *
 * <p>Callers choose the ids of their attempts. So a customer that begins many streams displaces its
 * own oldest ones first, and an id that was used for streams of two versions identifies neither.
 */
public final class KnownStreams {

    /** The most streams; the largest deployment needs 5,000 for streams of a minute. */
    static final int MAX_STREAMS = 16_384;

    /** The longest time for which a stream is known, whatever its caller's deadline is. */
    static final Duration MAX_KEPT = Duration.ofMinutes(5);

    private final Map<Integer, Map<StreamKey, Known>> mByCustomer = new HashMap<>();
    private int mSize;

    private record Known(StreamLookup lookup, Instant until) {}

    /**
     * Adds a stream that has begun.
     *
     * @param stream the stream; one with the same key and another origin makes the key ambiguous
     * @param now the current time
     */
    public void add(final StreamRecord stream, final Instant now) {
        final Map<StreamKey, Known> streams =
                mByCustomer.computeIfAbsent(
                        stream.key().customer(), customer -> new LinkedHashMap<>());
        mSize -= streams.size();
        removeExpired(streams, now);
        final StreamLookup added = StreamLookup.found(stream.origin());
        final StreamLookup before = lookup(stream.key(), now);
        final boolean isNew = before.equals(StreamLookup.UNKNOWN) || before.equals(added);
        streams.remove(stream.key());
        streams.put(
                stream.key(),
                new Known(
                        isNew ? added : StreamLookup.AMBIGUOUS,
                        now.plus(shorter(stream.keptFor(), MAX_KEPT))));
        mSize += streams.size();
        if (mSize > MAX_STREAMS) {
            removeOldestOfLargestCustomer();
        }
    }

    private static Duration shorter(final Duration one, final Duration other) {
        return one.compareTo(other) < 0 ? one : other;
    }

    /** Removes the oldest streams of a customer up to the first one that is still kept. */
    private static void removeExpired(final Map<StreamKey, Known> streams, final Instant now) {
        final Iterator<Known> oldest = streams.values().iterator();
        while (oldest.hasNext() && oldest.next().until().isBefore(now)) {
            oldest.remove();
        }
    }

    private void removeOldestOfLargestCustomer() {
        final Map<StreamKey, Known> largest =
                mByCustomer.values().stream().max(Comparator.comparingInt(Map::size)).orElseThrow();
        final Iterator<StreamKey> oldest = largest.keySet().iterator();
        oldest.next();
        oldest.remove();
        mSize--;
    }

    /**
     * Removes streams that can't be resumed any more; to be called regularly.
     *
     * @param now the current time
     */
    public void expire(final Instant now) {
        mByCustomer.values().forEach(streams -> removeExpired(streams, now));
        mByCustomer.values().removeIf(Map::isEmpty);
        mSize = mByCustomer.values().stream().mapToInt(Map::size).sum();
    }

    /**
     * Returns what is known of a stream.
     *
     * @param key identifies the stream
     * @param now the current time
     * @return the knowledge
     */
    public StreamLookup lookup(final StreamKey key, final Instant now) {
        return find(key, now).map(Known::lookup).orElse(StreamLookup.UNKNOWN);
    }

    /**
     * Returns the time for which a stream is still known.
     *
     * @param key identifies the stream
     * @param now the current time
     * @return the rest of the time; zero if it isn't known
     */
    public Duration keptFor(final StreamKey key, final Instant now) {
        return find(key, now)
                .map(known -> Duration.between(now, known.until()))
                .orElse(Duration.ZERO);
    }

    private Optional<Known> find(final StreamKey key, final Instant now) {
        final Map<StreamKey, Known> streams = mByCustomer.getOrDefault(key.customer(), Map.of());
        return Optional.ofNullable(streams.get(key)).filter(known -> known.until().isAfter(now));
    }

    /**
     * Returns the number of streams, including some that have expired.
     *
     * @return the number
     */
    public int size() {
        return mSize;
    }
}
