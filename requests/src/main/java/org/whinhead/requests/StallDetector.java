package org.whinhead.requests;

import java.time.Duration;
import java.time.Instant;
import org.whinhead.api.model.Tier;

/**
 * Finds attempts from which nothing has come for too long.
 *
 * <p>Guards against an endpoint that is frozen, or a connection that is half open: no failure is
 * ever reported, and the caller would wait until its deadline. The bound follows the tier's latency
 * targets, with a larger one before the first token.
 */
final class StallDetector {

    /** How long tokens may be missing once the stream's end has arrived. */
    private static final Duration MISSING_BEFORE_END = Duration.ofMillis(200);

    private final RequestSettings mSettings;

    StallDetector(final RequestSettings settings) {
        mSettings = settings;
    }

    /** Tells whether an attempt has been silent for too long. */
    boolean isSilent(final RequestState state, final Attempt attempt, final Instant now) {
        if (!state.spec().kind().isStreaming() && !state.spec().idempotent()) {
            return false;
        }
        return !now.isBefore(attempt.heardAt().plus(bound(state, attempt)));
    }

    /** Tells whether tokens are missing from a stream whose end arrived a while ago. */
    boolean hasLostTokens(final Attempt attempt, final Instant now) {
        return attempt.heldEnd().isPresent()
                && !now.isBefore(attempt.heardAt().plus(MISSING_BEFORE_END));
    }

    /**
     * Returns how long an attempt may be silent.
     *
     * <p>Guards against an engine that takes requests and gives no sign: while a stream that is
     * open may rightly wait long for its first token, one that never opens waits for nothing. The
     * caller's deadline would come first, and the engine would go on getting work.
     */
    private Duration bound(final RequestState state, final Attempt attempt) {
        final Duration bound = tierBound(state, attempt);
        final Duration open = mSettings.openTimeout();
        final boolean opens = state.spec().kind().isStreaming() && !attempt.hasStream();
        return opens && open.compareTo(bound) < 0 ? open : bound;
    }

    private Duration tierBound(final RequestState state, final Attempt attempt) {
        final Tier tier = state.spec().tier();
        final Duration target =
                attempt.tokens() == 0 ? tier.firstTokenTarget() : tier.betweenTokensTarget();
        final Duration bound = target.multipliedBy(mSettings.silenceFactor());
        final Duration least = mSettings.leastSilence();
        return bound.compareTo(least) < 0 ? least : bound;
    }
}
