package org.whinhead.standins.engine;

import java.util.List;

/**
 * A stopped stream on its way to another engine.
 *
 * @param generation what was asked
 * @param cachedTokens prompt tokens that were found in the first engine's cache
 * @param prefilled prompt tokens computed or found so far
 * @param tokens the tokens generated so far
 */
public record KvCache(Generation generation, int cachedTokens, int prefilled, List<String> tokens) {

    /** Copies the list. */
    public KvCache {
        tokens = List.copyOf(tokens);
    }
}
