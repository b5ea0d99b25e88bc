package org.whinhead.gateway.stream;

import java.time.InstantSource;
import java.util.Objects;
import java.util.function.Consumer;
import org.whinhead.serving.stream.KnownStreams;
import org.whinhead.serving.stream.StreamKey;
import org.whinhead.serving.stream.StreamLookup;
import org.whinhead.serving.stream.StreamRecord;

/** The directory of a daemon without others. */
public final class LocalStreamDirectory implements StreamDirectory {

    private final KnownStreams mStreams;
    private final InstantSource mClock;

    /**
     * Creates a directory.
     *
     * @param streams the streams that this daemon knows
     * @param clock the monotonic clock
     */
    public LocalStreamDirectory(final KnownStreams streams, final InstantSource clock) {
        mStreams = Objects.requireNonNull(streams, "streams");
        mClock = Objects.requireNonNull(clock, "clock");
    }

    @Override
    public void add(final StreamRecord stream) {
        mStreams.add(stream, mClock.instant());
    }

    @Override
    public Runnable find(final StreamKey key, final Consumer<StreamLookup> listener) {
        listener.accept(mStreams.lookup(key, mClock.instant()));
        return () -> {};
    }
}
