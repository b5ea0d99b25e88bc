package org.whinhead.standins.engine;

import java.util.List;

/**
 * The exported state of a stopped stream, for import by another engine.
 *
 * @param generation the request
 * @param cachedTokens the number of prompt tokens found in the first engine's cache
 * @param prefilled the number of prompt tokens computed or found so far
 * @param tokens the tokens generated so far
 */
public record KvCache(Generation generation, int cachedTokens, int prefilled, List<String> tokens) {

    /** Copies the list. */
    public KvCache {
        tokens = List.copyOf(tokens);
    }
}
