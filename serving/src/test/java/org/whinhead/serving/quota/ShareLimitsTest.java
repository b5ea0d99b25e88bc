package org.whinhead.serving.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.configuration.TokenAllowance;

class ShareLimitsTest {

    private static final int WINDOW_SECONDS = 8;
    private static final QuotaTolerance TOLERANCE =
            new QuotaTolerance(Duration.ofSeconds(WINDOW_SECONDS), 0.1, 72_000);

    // What all shares may give out in a window by their own rules is the bound on which everything
    // else rests: it must never be more than what is accepted.
    @Property(tries = 1_000, seed = "17")
    void sharesTogetherStayWithinAcceptedTokens(
            @ForAll @IntRange(min = 0, max = 5_000_000) final int rate,
            @ForAll @IntRange(min = 0, max = 5_000_000) final int burst) {
        final TokenAllowance allowance = new TokenAllowance(rate, burst, 200);
        final ShareLimits share = ShareLimits.of(allowance, TOLERANCE);
        final double most =
                ShareLimits.SHARES
                        * (WINDOW_SECONDS * share.tokensPerSecond()
                                + share.capacityTokens()
                                + share.maxDebt()
                                + share.restartCredit());
        assertThat(most).isLessThanOrEqualTo(ShareLimits.acceptedTokens(allowance, TOLERANCE));
    }

    @Test
    void sharesRefillAtRateOfAllowance() {
        final ShareLimits share =
                ShareLimits.of(new TokenAllowance(100_000, 100_000, 200), TOLERANCE);
        assertThat(ShareLimits.SHARES * share.tokensPerSecond()).isGreaterThan(100_000);
    }

    @Test
    void allowanceWithoutBurstOrToleranceHasCapacity() {
        final QuotaTolerance none = new QuotaTolerance(Duration.ofSeconds(8), 0, 0);
        final ShareLimits share = ShareLimits.of(new TokenAllowance(8_000, 0, 200), none);
        assertThat(share.capacityTokens()).isPositive();
        assertThat(share.partCount(10)).isEqualTo(1);
    }

    @Test
    void largeClaimIsSplit() {
        final ShareLimits share = new ShareLimits(1_000, 900, 300, 0, 150);
        assertThat(share.partCount(300)).isEqualTo(1);
        assertThat(share.partCount(301)).isEqualTo(2);
        assertThat(share.partCount(1_000_000)).isEqualTo(ShareLimits.SHARES);
    }
}
