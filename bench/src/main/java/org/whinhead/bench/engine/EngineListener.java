package org.whinhead.bench.engine;

import org.whinhead.routing.CacheEvent;

/** Receives the events of an engine. */
public interface EngineListener {

    /**
     * Called when a sequence received a token, before {@link #sequenceFinished}.
     *
     * @param engine the engine's number
     * @param sequence the sequence
     */
    default void tokenDecoded(final int engine, final Sequence sequence) {}

    /**
     * Called when a sequence received its last token.
     *
     * @param engine the engine's number
     * @param sequence the sequence
     */
    void sequenceFinished(int engine, Sequence sequence);

    /**
     * Called when the prefix cache stored or evicted a block.
     *
     * @param event the engine, the kind of change and the block's hash
     */
    void cacheChanged(CacheEvent event);
}
