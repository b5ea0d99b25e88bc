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

    // The tokens that all shares may issue in a window bound the spending of the whole fleet, so
    // they must never exceed the accepted tokens.
    @Property(tries = 1_000, seed = "17")
    void sharesTogetherStayWithinAcceptedTokens(
            @ForAll @IntRange(min = 0, max = 5_000_000) final int rate,
            @ForAll @IntRange(min = 0, max = 5_000_000) final int burst) {
        final TokenAllowance allowance = new TokenAllowance(rate, burst, 200);
        final ShareLimits share = ShareLimits.of(allowance, TOLERANCE);
        final double issuedAtMost =
                ShareLimits.SHARES
                        * (WINDOW_SECONDS * share.tokensPerSecond()
                                + share.capacityTokens()
                                + share.maxDebt()
                                + share.restartCredit());
        assertThat(issuedAtMost)
                .isLessThanOrEqualTo(ShareLimits.acceptedTokens(allowance, TOLERANCE));
    }

    // A customer that was calm for a window sends its burst and the rest of the window's rate at
    // once. Shares with a smaller capacity refuse requests that are within the allowance.
    @Test
    void calmCustomerMaySpendRestOfWindowAtOnce() {
        final int rate = 100_000;
        final ShareLimits share = ShareLimits.of(new TokenAllowance(rate, rate, 200), TOLERANCE);
        assertThat(ShareLimits.SHARES * share.capacityTokens())
                .isGreaterThan(rate + WINDOW_SECONDS * rate / 2.0);
    }

    // A customer sends at its rate all the time. Shares that issue less in a window refuse it.
    @Property(tries = 1_000, seed = "18")
    void sharesIssueAllowanceInEachWindow(
            @ForAll @IntRange(min = 1, max = 5_000_000) final int rate,
            @ForAll @IntRange(min = 0, max = 5_000_000) final int burst) {
        final ShareLimits share = ShareLimits.of(new TokenAllowance(rate, burst, 200), TOLERANCE);
        assertThat(ShareLimits.SHARES * share.windowTokens())
                .isGreaterThan((double) WINDOW_SECONDS * rate + burst);
        assertThat(share.tokensPerSecond()).isPositive();
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
        final ShareLimits share =
                new ShareLimits(Duration.ofSeconds(WINDOW_SECONDS), 1_000, 900, 300, 0, 150);
        assertThat(share.partCount(300)).isEqualTo(1);
        assertThat(share.partCount(301)).isEqualTo(2);
        assertThat(share.partCount(1_000_000)).isEqualTo(ShareLimits.SHARES);
    }
}
