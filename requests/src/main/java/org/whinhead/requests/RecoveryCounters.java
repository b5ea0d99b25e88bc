package org.whinhead.requests;

import java.util.EnumMap;
import java.util.Map;

/** Counts recoveries and the tokens that were computed again, by cause. */
public final class RecoveryCounters {

    private final Map<RecoveryCause, Long> mTokens = new EnumMap<>(RecoveryCause.class);
    private final Map<RecoveryCause, Long> mRecoveries = new EnumMap<>(RecoveryCause.class);

    /**
     * Returns the tokens, of prompts and answers, that were computed again for a cause.
     *
     * @param cause the cause
     * @return how many; an estimate until the attempt that recomputed them has finished
     */
    public long recomputedTokens(final RecoveryCause cause) {
        return mTokens.getOrDefault(cause, 0L);
    }

    /**
     * Returns how often work was dispatched again for a cause.
     *
     * @param cause the cause
     * @return how often
     */
    public long recoveries(final RecoveryCause cause) {
        return mRecoveries.getOrDefault(cause, 0L);
    }

    void add(final RecoveryCause cause, final long tokens) {
        mTokens.merge(cause, tokens, Long::sum);
        mRecoveries.merge(cause, 1L, Long::sum);
    }

    /** Takes back tokens that turned out not to be computed again. */
    void subtract(final RecoveryCause cause, final long tokens) {
        mTokens.merge(cause, -tokens, Long::sum);
    }
}
