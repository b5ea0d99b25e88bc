package org.whinhead.serving.quota;

import java.time.Duration;
import org.whinhead.serving.configuration.TokenAllowance;

/**
 * Limits of the token bucket of one share of a customer's allowance.
 *
 * <p>In any window a share issues at most its rate times the window, its capacity, its overdraft
 * and the credit of a restart. Times the number of shares this stays below the tokens that the
 * deployment accepts.
 *
 * @param tokensPerSecond the refill rate
 * @param capacityTokens the capacity, including issued tokens that have not expired
 * @param maxDebt the largest overdraft, in tokens
 * @param restartCredit the tokens that a restarted holder adds to the worst-case level
 * @param lightReserve the tokens reserved for light requests
 */
record ShareLimits(
        double tokensPerSecond,
        double capacityTokens,
        double maxDebt,
        double restartCredit,
        double lightReserve) {

    /** The number of shares of an allowance; the loss of one holder costs one of them. */
    static final int SHARES = 8;

    /** The fraction of the accepted tokens in use; the rest covers clocks of different rates. */
    private static final double USED_FRACTION = 0.98;

    /** The fraction of the tokens accepted beyond the rate that refills; the rest is for bursts. */
    private static final double REFILL_FRACTION = 1.0 / 5;

    /**
     * The least fraction of the accepted tokens beyond the sustained rate; a request takes all of
     * its tokens at once.
     */
    private static final double MIN_BURST_FRACTION = 1.0 / 8;

    /** The fraction of the burst tokens available as overdraft. */
    private static final double DEBT_FRACTION = 1.0 / 12;

    /** The fraction of the burst tokens available as restart credit. */
    private static final double RESTART_FRACTION = 1.0 / 4;

    /**
     * The shortest time, in seconds, for which a restart stops a holder from issuing tokens. It
     * bounds the credit of several restarts within one window; the first one is covered by {@link
     * #RESTART_FRACTION}.
     */
    private static final double RESTART_PAUSE_SECONDS = 1;

    /**
     * The fraction of the capacity reserved for light requests. A plain call costs some 200 tokens
     * and a prompt thousands, so a customer that floods with prompts keeps its plain calls.
     */
    private static final double LIGHT_FRACTION = 1.0 / 16;

    /** The fraction of the capacity that one claim requests at most, if other shares are left. */
    private static final double MAX_CLAIM_FRACTION = 1.0 / 3;

    private static final double MILLIS_PER_SECOND = 1_000;

    static ShareLimits of(final TokenAllowance allowance, final QuotaTolerance tolerance) {
        final double seconds = tolerance.window().toMillis() / MILLIS_PER_SECOND;
        final double accepted = USED_FRACTION * acceptedTokens(allowance, tolerance);
        final double beyondRate =
                Math.max(
                        accepted - seconds * allowance.tokensPerSecond(),
                        MIN_BURST_FRACTION * accepted);
        final double refillRate = (accepted - beyondRate + REFILL_FRACTION * beyondRate) / seconds;
        final double burst = (1 - REFILL_FRACTION) * beyondRate / SHARES;
        final double rate = refillRate / SHARES;
        final double maxDebt = DEBT_FRACTION * burst;
        final double credit = Math.min(RESTART_FRACTION * burst, RESTART_PAUSE_SECONDS * rate);
        final double capacity = burst - maxDebt - credit;
        return new ShareLimits(rate, capacity, maxDebt, credit, LIGHT_FRACTION * capacity);
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

    double inflow(final Duration time) {
        return Math.max(time.toNanos() / 1e9, 0) * tokensPerSecond;
    }

    /** Returns the number of shares over which a claim is split. */
    int partCount(final long tokens) {
        final double part = Math.max(MAX_CLAIM_FRACTION * capacityTokens, maxDebt);
        return (int) Math.min(Math.max(Math.ceil(tokens / part), 1), SHARES);
    }
}
