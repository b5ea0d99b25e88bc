package org.whinhead.serving.configuration;

import org.whinhead.api.Arguments;

/**
 * Number of tokens that a customer may spend over all daemons.
 *
 * @param tokensPerSecond the sustained rate; unlimited if it and the burst are 0
 * @param burstTokens the tokens that may be spent at once beyond the rate
 * @param plainTokens the cost, in tokens, of a request that states none
 */
public record TokenAllowance(long tokensPerSecond, long burstTokens, long plainTokens) {

    /** Checks the components. */
    public TokenAllowance {
        Arguments.requireAtLeast(tokensPerSecond, 0, "tokensPerSecond");
        Arguments.requireAtLeast(burstTokens, 0, "burstTokens");
        Arguments.requireAtLeast(plainTokens, 0, "plainTokens");
    }

    /**
     * Returns whether the customer has no limit.
     *
     * @return whether both the rate and the burst are 0
     */
    public boolean isUnlimited() {
        return tokensPerSecond == 0 && burstTokens == 0;
    }
}
