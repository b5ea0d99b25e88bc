package org.whinhead.gateway.stream;

import java.util.function.Consumer;
import org.whinhead.serving.stream.StreamKey;
import org.whinhead.serving.stream.StreamLookup;
import org.whinhead.serving.stream.StreamRecord;

/** Knows where streams began, at this daemon and at others. */
public interface StreamDirectory {

    /**
     * Records where a stream began, so that daemons at which its caller resumes it find it.
     *
     * @param stream the stream, of which no event was forwarded yet
     */
    void add(StreamRecord stream);

    /**
     * Looks a stream up, here and at other daemons.
     *
     * @param key the stream
     * @param listener receives the outcome once, at once or within a fixed time
     * @return cancels the search; the listener is not called afterwards
     */
    Runnable find(StreamKey key, Consumer<StreamLookup> listener);
}
