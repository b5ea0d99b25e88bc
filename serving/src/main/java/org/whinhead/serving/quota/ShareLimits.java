package org.whinhead.serving.quota;

import java.time.Duration;
import org.whinhead.serving.configuration.TokenAllowance;

/**
 * Limits of one share of a customer's allowance.
 *
 * <p>In any time up to the window a share issues at most its rate times that time, its capacity,
 * its overdraft and the credit of a restart. Times the number of shares this stays below the tokens
 * that the deployment accepts.
 *
 * @param window the longest time in which issued tokens are summed
 * @param tokensPerSecond the refill rate, at which also a share issues whose holder was restarted
 * @param capacityTokens the tokens issued at once after a window without requests
 * @param maxDebt the largest overdraft, in tokens
 * @param restartCredit the tokens that a restarted holder adds to the worst-case level
 * @param lightReserve the tokens reserved for light requests
 */
record ShareLimits(
        Duration window,
        double tokensPerSecond,
        double capacityTokens,
        double maxDebt,
        double restartCredit,
        double lightReserve) {

    /** The number of shares of an allowance; the loss of one holder costs one of them. */
    static final int SHARES = 8;

    /** The fraction of the accepted tokens in use; the rest covers clocks of different rates. */
    private static final double USED_FRACTION = 0.98;

    /**
     * The part of its rate that a customer uses while it is calm. One that has used no more for a
     * window may spend all that its allowance leaves of the window at once.
     */
    private static final double CALM_FRACTION = 0.5;

    /**
     * The capacity, as a multiple of what such a customer may spend at once. Tokens count as issued
     * until they expire, which is longer than the window.
     */
    private static final double CAPACITY_MARGIN = 1.09;

    /** The capacity beyond that, in tokens: what is left in a share that can't meet a claim. */
    private static final double REMAINDER_TOKENS = 3_000;

    /**
     * The bounds of the refill rate, as fractions of the allowance's rate. The refill rate is what
     * is left for a customer while restarted holders know nothing of the tokens issued before.
     */
    private static final double MIN_REFILL_FRACTION = 0.25;

    private static final double MAX_REFILL_FRACTION = 0.75;

    /** The least tokens beyond the allowance, as a fraction of the accepted ones. */
    private static final double MIN_EXCESS_FRACTION = 1.0 / 16;

    /** The overdraft, as a fraction of the tokens accepted beyond the allowance. */
    private static final double DEBT_FRACTION = 1.0 / 12;

    /** The restart credit, as a fraction of the tokens accepted beyond the allowance. */
    private static final double RESTART_FRACTION = 1.0 / 6;

    /**
     * The shortest time, in seconds, for which a restart stops a holder from issuing tokens. It
     * bounds the credit of several restarts within one window; the first one is covered by {@link
     * #RESTART_FRACTION}.
     */
    private static final double RESTART_PAUSE_SECONDS = 1;

    /**
     * The tokens reserved for light requests, as a fraction of those beyond the allowance. A plain
     * call costs some 200 tokens and a prompt thousands, so a customer that floods with prompts
     * keeps its plain calls.
     */
    private static final double LIGHT_FRACTION = 1.0 / 28;

    /** The fraction of the capacity that one claim requests at most, if other shares are left. */
    private static final double MAX_CLAIM_FRACTION = 1.0 / 3;

    private static final double MILLIS_PER_SECOND = 1_000;

    static ShareLimits of(final TokenAllowance allowance, final QuotaTolerance tolerance) {
        final double seconds = tolerance.window().toMillis() / MILLIS_PER_SECOND;
        final double accepted = USED_FRACTION * acceptedTokens(allowance, tolerance);
        final double allowed = seconds * allowance.tokensPerSecond() + allowance.burstTokens();
        final double excess = Math.max(accepted - allowed, MIN_EXCESS_FRACTION * accepted) / SHARES;
        final double maxDebt = DEBT_FRACTION * excess;
        final double maxCredit = RESTART_FRACTION * excess;
        final double windowTokens = accepted / SHARES - maxDebt - maxCredit;
        final double rate = refillRate(allowance, windowTokens, seconds);
        return new ShareLimits(
                tolerance.window(),
                rate,
                windowTokens - seconds * rate,
                maxDebt,
                Math.min(maxCredit, RESTART_PAUSE_SECONDS * rate),
                LIGHT_FRACTION * excess);
    }

    /** Returns the refill rate of a share that leaves the capacity for a burst after calm. */
    private static double refillRate(
            final TokenAllowance allowance, final double windowTokens, final double seconds) {
        final double rate = (double) allowance.tokensPerSecond() / SHARES;
        final double burst = (double) allowance.burstTokens() / SHARES;
        final double capacity =
                CAPACITY_MARGIN * (burst + (1 - CALM_FRACTION) * seconds * rate) + REMAINDER_TOKENS;
        final double refill = (windowTokens - capacity) / seconds;
        return Math.min(Math.max(refill, MIN_REFILL_FRACTION * rate), MAX_REFILL_FRACTION * rate);
    }

    /** Returns the most tokens that the deployment accepts in a window. */
    static double acceptedTokens(final TokenAllowance allowance, final QuotaTolerance tolerance) {
        final double seconds = tolerance.window().toMillis() / MILLIS_PER_SECOND;
        final double allowed = seconds * allowance.tokensPerSecond() + allowance.burstTokens();
        return allowed * (1 + tolerance.overshootFraction()) + tolerance.slackTokens();
    }

    /** Returns the lowest level, in tokens, at which a request is served. */
    double minLevelBefore(final boolean light) {
        return light ? -maxDebt : lightReserve;
    }

    /** Returns the lowest level, in tokens, after a request is served. */
    double minLevelAfter(final boolean light) {
        return light ? -maxDebt : lightReserve - maxDebt;
    }

    /** Returns the level, in tokens, that a share must have to issue a number of tokens. */
    double requiredLevel(final double tokens, final boolean light) {
        return Math.max(minLevelBefore(light), minLevelAfter(light) + tokens);
    }

    /** Returns the tokens issued at most in a window without a restart and an overdraft. */
    double windowTokens() {
        return capacityTokens + inflow(window);
    }

    double inflow(final Duration time) {
        return Math.max(time.toNanos() / 1e9, 0) * tokensPerSecond;
    }

    /** Returns the number of shares over which a claim is split. */
    int partCount(final long tokens) {
        final double part = Math.max(MAX_CLAIM_FRACTION * capacityTokens, maxDebt);
        return (int) Math.min(Math.max(Math.ceil(tokens / part), 1), SHARES);
    }
}
