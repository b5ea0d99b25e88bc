package org.whinhead.serving.balance;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** The prompt parts that an endpoint likely still has in memory, by what was sent to it. */
final class PrefixCacheModel {

    private final LinkedHashMap<String, Integer> mParts = new LinkedHashMap<>(64, 0.75f, true);
    private final long mCapacityTokens;
    private long mTokens;

    PrefixCacheModel(final long capacity) {
        mCapacityTokens = capacity;
    }

    int cachedTokens(final Work work) {
        int tokens = 0;
        for (final PromptPart part : work.parts()) {
            if (!mParts.containsKey(part.id())) {
                return tokens;
            }
            tokens += part.tokens();
        }
        return tokens;
    }

    void add(final Work work) {
        for (final PromptPart part : work.parts()) {
            if (mParts.get(part.id()) == null) {
                mParts.put(part.id(), part.tokens());
                mTokens += part.tokens();
            }
        }
        final Iterator<Map.Entry<String, Integer>> eldest = mParts.entrySet().iterator();
        while (mTokens > mCapacityTokens && eldest.hasNext()) {
            mTokens -= eldest.next().getValue();
            eldest.remove();
        }
    }
}
