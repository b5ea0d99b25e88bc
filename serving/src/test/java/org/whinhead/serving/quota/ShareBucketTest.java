package org.whinhead.serving.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.configuration.TokenAllowance;

class ShareBucketTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration WINDOW = Duration.ofSeconds(8);
    private static final ShareLimits LIMITS = new ShareLimits(WINDOW, 1_000, 900, 300, 200, 150);

    private final ShareBucket mBucket = ShareBucket.full(LIMITS, START);

    private static ShareBucket.IssueKey key(final long requestId) {
        return new ShareBucket.IssueKey("d-1", requestId);
    }

    @Test
    void shareIsOverdrawnByOneRequestAtMost() {
        assertThat(mBucket.issue(key(1), 800, true, START)).isTrue();
        assertThat(mBucket.issue(key(2), 400, true, START)).isTrue();
        assertThat(mBucket.level(START)).isEqualTo(-300);
        assertThat(mBucket.issue(key(3), 1, true, START)).isFalse();
    }

    @Test
    void reserveIsKeptForLightRequests() {
        assertThat(mBucket.issue(key(1), 760, false, START)).isTrue();
        assertThat(mBucket.issue(key(2), 10, false, START)).isFalse();
        assertThat(mBucket.issue(key(3), 10, true, START)).isTrue();
    }

    // Issued tokens may be spent after the share has refilled, and a window would contain both. So
    // they occupy capacity until they expire.
    @Test
    void issuedTokensOccupyCapacityUntilTheyExpire() {
        mBucket.issue(key(1), 900, false, START);
        final Instant expiry = START.plus(ShareBucket.TOKEN_VALIDITY);
        assertThat(mBucket.level(expiry)).isZero();
        assertThat(mBucket.level(expiry.plusMillis(500))).isGreaterThan(400);
    }

    // A share issues all its tokens and gets no request for half a second. The issued tokens
    // occupied its capacity for that time, so it has not refilled.
    @Test
    void bucketDoesNotRefillWhileIssuedTokensOccupyIt() {
        mBucket.issue(key(1), 900, false, START);
        final Instant afterExpiry = START.plus(ShareBucket.TOKEN_VALIDITY).plusMillis(10);
        assertThat(mBucket.level(afterExpiry)).isBetween(0.0, 10.0);
    }

    // A response is lost, and the claimant returns the tokens in a datagram that is delivered
    // twice. The customer must not get them twice.
    @Test
    void tokensAreReturnedOnce() {
        mBucket.issue(key(1), 500, false, START);
        mBucket.returnTokens(key(1), START);
        mBucket.returnTokens(key(1), START);
        assertThat(mBucket.level(START)).isEqualTo(900);
    }

    @Test
    void expiredTokensAreNotReturned() {
        mBucket.issue(key(1), 500, false, START);
        final Instant afterExpiry = START.plus(ShareBucket.TOKEN_VALIDITY).plusMillis(1);
        final double level = mBucket.level(afterExpiry);
        mBucket.returnTokens(key(1), afterExpiry);
        assertThat(mBucket.level(afterExpiry)).isEqualTo(level);
    }

    @Test
    void repeatedRequestIsIssuedOnce() {
        assertThat(mBucket.issue(key(1), 100, false, START)).isTrue();
        assertThat(mBucket.issue(key(1), 100, false, START)).isFalse();
        assertThat(mBucket.level(START)).isEqualTo(800);
    }

    /** Small claims must not drain a share before a large claim finds enough in several at once. */
    @Test
    void smallClaimsLeaveTokensForRejectedSplitClaim() {
        mBucket.issue(key(1), 500, false, START);
        assertThat(issuePart(2, 560, 2_000)).isFalse();
        mBucket.returnTokens(key(1), START);

        assertThat(mBucket.issue(key(3), 400, false, START)).isTrue();
        assertThat(mBucket.issue(key(4), 400, false, START)).isFalse();
        assertThat(issuePart(5, 560, 2_000)).isTrue();
    }

    /** Guards against comparing claims by their parts, which have similar sizes for all claims. */
    @Test
    void partOfSmallerClaimWaitsForLargerOne() {
        mBucket.issue(key(1), 700, false, START);
        assertThat(issuePart(2, 500, 2_000)).isFalse();
        mBucket.returnTokens(key(1), START);

        assertThat(issuePart(3, 500, 1_000)).isTrue();
        assertThat(issuePart(4, 500, 1_000)).isFalse();
        assertThat(issuePart(5, 500, 2_000)).isTrue();
    }

    /**
     * Guards against tokens that stay reserved for a claim that another share has met: the smaller
     * claims of a customer within its allowance would be rejected meanwhile.
     */
    @Test
    void reservationEndsWithItsClaim() {
        mBucket.issue(key(1), 700, false, START);
        assertThat(mBucket.issue(key(2), 560, false, START)).isFalse();
        assertThat(mBucket.issue(key(3), 300, false, START)).isFalse();

        mBucket.returnTokens(key(2), START);

        assertThat(mBucket.issue(key(4), 300, false, START)).isTrue();
    }

    private boolean issuePart(final long requestId, final long tokens, final long claimTokens) {
        return mBucket.issue(
                key(requestId), new ShareBucket.ClaimPart(tokens, claimTokens), false, START);
    }

    @Test
    void lowerLimitAppliesAtOnce() {
        mBucket.setLimits(new ShareLimits(WINDOW, 100, 90, 30, 20, 15), START);
        assertThat(mBucket.level(START)).isEqualTo(90);
    }

    // A customer sends at its rate, which is more than a share refills at. Tokens that were issued
    // longer ago than the window must not count.
    @Test
    void customerAtItsRateIsServed() {
        final int rate = 400_000;
        final QuotaTolerance tolerance = new QuotaTolerance(WINDOW, 0.1, 72_000);
        final ShareBucket bucket =
                ShareBucket.full(
                        ShareLimits.of(new TokenAllowance(rate, rate, 200), tolerance), START);
        for (int millis = 0; millis < 60_000; millis += 10) {
            final long tokens = rate / ShareLimits.SHARES / 100;
            assertThat(bucket.issue(key(millis), tokens, false, START.plusMillis(millis)))
                    .as("%d ms", millis)
                    .isTrue();
        }
    }

    // A customer is lowered to a tenth of its allowance and raised again at once. It must not get
    // a second window's tokens.
    @Test
    void earlierIssuesCountAgainAfterLimitsAreRaised() {
        mBucket.issue(key(1), 900, true, START);
        mBucket.setLimits(new ShareLimits(WINDOW, 100, 90, 30, 20, 15), START);
        assertThat(mBucket.level(START)).isEqualTo(0);
        mBucket.setLimits(LIMITS, START);
        assertThat(mBucket.level(START)).isEqualTo(0);
    }

    // All daemons are killed and restarted after they have issued all tokens and the overdraft. A
    // share that started full would issue as many again within the same window.
    @Test
    void restartedShareHoldsOnlyItsCredit() {
        final ShareBucket restarted = ShareBucket.restarted(LIMITS, START);
        assertThat(restarted.level(START)).isEqualTo(-100);
        assertThat(restarted.level(START.plusMillis(500))).isEqualTo(400);
    }
}
