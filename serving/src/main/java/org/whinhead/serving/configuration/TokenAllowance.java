package org.whinhead.serving.configuration;

import org.whinhead.api.Arguments;

/**
 * How many tokens a customer may spend over all daemons.
 *
 * @param tokensPerSecond the lasting rate; 0 stands for no limit
 * @param burstTokens what may be spent at once beyond the rate
 * @param plainTokens what a request costs that states no tokens of its own
 */
public record TokenAllowance(long tokensPerSecond, long burstTokens, long plainTokens) {

    /** Checks the parts. */
    public TokenAllowance {
        Arguments.requireAtLeast(tokensPerSecond, 0, "tokensPerSecond");
        Arguments.requireAtLeast(burstTokens, 0, "burstTokens");
        Arguments.requireAtLeast(plainTokens, 0, "plainTokens");
    }

    /**
     * Tells whether the customer has no limit.
     *
     * @return whether everything is allowed
     */
    public boolean isUnlimited() {
        return tokensPerSecond == 0 && burstTokens == 0;
    }
}
