package org.whinhead.serving.quota;

import java.time.Duration;
import org.whinhead.serving.configuration.TokenAllowance;

/**
 * What one share of a customer's allowance gives out.
 *
 * <p>In any window a share issues at most its rate times the window, what it holds when full, what
 * it may be overdrawn, and what a restart of its holder adds. Times the number of shares this stays
 * below what the deployment accepts.
 *
 * @param tokensPerSecond what flows in
 * @param fullTokens what it holds at most, tokens that were issued and may not be spent yet
 *     included
 * @param mostDebt how far a request may overdraw it
 * @param restartCredit what its holder may issue after a restart beyond what it may have had left
 * @param lightReserve what only light requests may use
 */
record ShareLimits(
        double tokensPerSecond,
        double capacityTokens,
        double maxDebt,
        double restartCredit,
        double lightReserve) {

    /** The shares of a customer's allowance; the loss of one holder costs so much of it. */
    static final int SHARES = 8;

    /** The part of what is accepted that is used; the rest covers clocks that differ in rate. */
    private static final double USED_FRACTION = 0.98;

    /** The part of what is accepted beyond the rate that flows in; the rest is kept for bursts. */
    private static final double REFILL_FRACTION = 1.0 / 5;

    /** The least part of what is accepted that is not lasting rate: a request comes all at once. */
    private static final double MIN_BURST_FRACTION = 1.0 / 8;

    /** The part of the room for bursts by which a share may be overdrawn. */
    private static final double DEBT_FRACTION = 1.0 / 12;

    /** The part of the room for bursts that is kept for a restart of the holder. */
    private static final double RESTART_FRACTION = 1.0 / 4;

    /**
     * The least time, in seconds, for which a restart keeps a holder from issuing tokens. It bounds
     * what several restarts within one window add; the first one has its part of the burst.
     */
    private static final double RESTART_PAUSE_SECONDS = 1;

    /**
     * The part of a full share that only light requests may use. A plain call costs some 200 tokens
     * and a prompt thousands, so a customer that floods with prompts keeps its plain calls.
     */
    private static final double LIGHT_FRACTION = 1.0 / 16;

    /** The part of a full share that one claim asks of it at most, if others are left. */
    private static final double MAX_CLAIM_FRACTION = 1.0 / 3;

    private static final double MILLIS_PER_SECOND = 1_000;

    static ShareLimits of(final TokenAllowance allowance, final QuotaTolerance tolerance) {
        final double seconds = tolerance.window().toMillis() / MILLIS_PER_SECOND;
        final double accepted = USED_FRACTION * acceptedTokens(allowance, tolerance);
        final double beyondRate =
                Math.max(
                        accepted - seconds * allowance.tokensPerSecond(),
                        MIN_BURST_FRACTION * accepted);
        final double flowing = (accepted - beyondRate + REFILL_FRACTION * beyondRate) / seconds;
        final double burst = (1 - REFILL_FRACTION) * beyondRate / SHARES;
        final double rate = flowing / SHARES;
        final double debt = DEBT_FRACTION * burst;
        final double credit = Math.min(RESTART_FRACTION * burst, RESTART_PAUSE_SECONDS * rate);
        final double full = burst - debt - credit;
        return new ShareLimits(rate, full, debt, credit, LIGHT_FRACTION * full);
    }

    /** The most that the deployment accepts in a window. */
    static double acceptedTokens(final TokenAllowance allowance, final QuotaTolerance tolerance) {
        final double seconds = tolerance.window().toMillis() / MILLIS_PER_SECOND;
        final double allowed = seconds * allowance.tokensPerSecond() + allowance.burstTokens();
        return allowed * (1 + tolerance.overshootFraction()) + tolerance.slackTokens();
    }

    /** The least level at which a request is given tokens. */
    double minLevelBefore(final boolean light) {
        return light ? -maxDebt : lightReserve;
    }

    /** The least level that a request leaves behind. */
    double minLevelAfter(final boolean light) {
        return light ? -maxDebt : lightReserve - maxDebt;
    }

    /** The level that a share must have to give so much. */
    double requiredLevel(final double tokens, final boolean light) {
        return Math.max(minLevelBefore(light), minLevelAfter(light) + tokens);
    }

    double inflow(final Duration time) {
        return Math.max(time.toNanos() / 1e9, 0) * tokensPerSecond;
    }

    /** Into how many parts a claim is split, for as many shares. */
    int partCount(final long tokens) {
        final double part = Math.max(MAX_CLAIM_FRACTION * capacityTokens, maxDebt);
        return (int) Math.min(Math.max(Math.ceil(tokens / part), 1), SHARES);
    }
}
