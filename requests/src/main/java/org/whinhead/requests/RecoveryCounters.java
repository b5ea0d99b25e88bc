package org.whinhead.requests;

import java.util.EnumMap;
import java.util.Map;

/** Counts recoveries and recomputed tokens by cause. */
public final class RecoveryCounters {

    private final Map<RecoveryCause, Long> mTokens = new EnumMap<>(RecoveryCause.class);
    private final Map<RecoveryCause, Long> mRecoveries = new EnumMap<>(RecoveryCause.class);

    /**
     * Returns the number of prompt and answer tokens that were recomputed for a cause.
     *
     * @param cause the cause
     * @return the number of tokens; an estimate until the recomputing attempt has finished
     */
    public long recomputedTokens(final RecoveryCause cause) {
        return mTokens.getOrDefault(cause, 0L);
    }

    /**
     * Returns the number of dispatches that repeated work for a cause.
     *
     * @param cause the cause
     * @return the number of dispatches
     */
    public long recoveries(final RecoveryCause cause) {
        return mRecoveries.getOrDefault(cause, 0L);
    }

    void add(final RecoveryCause cause, final long tokens) {
        mTokens.merge(cause, tokens, Long::sum);
        mRecoveries.merge(cause, 1L, Long::sum);
    }

    /** Subtracts tokens that turned out not to be recomputed. */
    void subtract(final RecoveryCause cause, final long tokens) {
        mTokens.merge(cause, -tokens, Long::sum);
    }
}
