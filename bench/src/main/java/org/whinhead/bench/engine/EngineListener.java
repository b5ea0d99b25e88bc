package org.whinhead.bench.engine;

import org.whinhead.routing.CacheEvent;

/** Told what an engine does. */
public interface EngineListener {

    /**
     * A sequence got a token; told before {@link #finished}.
     *
     * @param engine the engine's number
     * @param sequence the sequence
     */
    default void tokenDecoded(final int engine, final Sequence sequence) {}

    /**
     * A sequence got its last token.
     *
     * @param engine the engine's number
     * @param sequence the sequence
     */
    void sequenceFinished(int engine, Sequence sequence);

    /**
     * The prefix cache changed.
     *
     * @param event what happened
     */
    void cacheChanged(CacheEvent event);
}
