package org.whinhead.requests;

import java.time.Duration;
import java.time.Instant;
import org.whinhead.api.model.Tier;

/**
 * Detects stalled attempts: those that sent no event within the silence limit.
 *
 * <p>Guards against a frozen endpoint or a half-open connection: no failure is ever reported, and
 * the caller would wait until its deadline. The limit is a multiple of the tier's latency targets:
 * of the first-token target before the first token, then of the target between tokens.
 */
final class StallDetector {

    /** The maximum time that tokens may be missing after the end of the stream arrived. */
    private static final Duration MISSING_TOKENS_TIMEOUT = Duration.ofMillis(200);

    private final RequestSettings mSettings;

    StallDetector(final RequestSettings settings) {
        mSettings = settings;
    }

    /** Returns whether an attempt has exceeded its silence limit. */
    boolean isSilent(final RequestState state, final Attempt attempt, final Instant now) {
        if (!state.spec().kind().isStreaming() && !state.spec().idempotent()) {
            return false;
        }
        return !now.isBefore(attempt.lastEventAt().plus(silenceBound(state, attempt)));
    }

    /** Returns whether tokens are still missing some time after the end of the stream arrived. */
    boolean hasLostTokens(final Attempt attempt, final Instant now) {
        return attempt.deferredEnd().isPresent()
                && !now.isBefore(attempt.lastEventAt().plus(MISSING_TOKENS_TIMEOUT));
    }

    /**
     * Returns the silence limit of an attempt.
     *
     * <p>Guards against an engine that accepts requests and never responds. An open stream may need
     * long for its first token, but a stream should open quickly. Without the shorter limit, the
     * caller's deadline would pass first, and the engine would continue to receive requests.
     */
    private Duration silenceBound(final RequestState state, final Attempt attempt) {
        final Duration bound = tierSilenceBound(state, attempt);
        final Duration open = mSettings.openTimeout();
        final boolean opening = state.spec().kind().isStreaming() && !attempt.hasStream();
        return opening && open.compareTo(bound) < 0 ? open : bound;
    }

    private Duration tierSilenceBound(final RequestState state, final Attempt attempt) {
        final Tier tier = state.spec().tier();
        final Duration target =
                attempt.receivedTokens() == 0
                        ? tier.firstTokenTarget()
                        : tier.betweenTokensTarget();
        final Duration bound = target.multipliedBy(mSettings.silenceFactor());
        final Duration least = mSettings.leastSilence();
        return bound.compareTo(least) < 0 ? least : bound;
    }
}
