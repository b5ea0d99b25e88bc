package org.whinhead.serving.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import org.junit.jupiter.api.Test;

class ShareBucketTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final ShareLimits LIMITS = new ShareLimits(1_000, 900, 300, 200, 150);

    private final ShareBucket mBucket = ShareBucket.full(LIMITS, START);

    private static ShareBucket.IssueKey key(final long number) {
        return new ShareBucket.IssueKey("d-1", number);
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

    // Tokens that were issued a moment ago are spent now, and the share has refilled meanwhile: a
    // window would see both. So what may still be spent takes up room.
    @Test
    void issuedTokensOccupyCapacityUntilTheyExpire() {
        mBucket.issue(key(1), 900, false, START);
        final Instant stillValid = START.plus(ShareBucket.TOKEN_VALIDITY);
        assertThat(mBucket.level(stillValid)).isZero();
        assertThat(mBucket.level(stillValid.plusMillis(500))).isGreaterThan(400);
    }

    // A share issues all it has and is not asked for half a second. What could have been spent all
    // that time took up its room, so nothing has flowed in meanwhile.
    @Test
    void bucketDoesNotRefillWhileIssuedTokensOccupyIt() {
        mBucket.issue(key(1), 900, false, START);
        final Instant lapsed = START.plus(ShareBucket.TOKEN_VALIDITY).plusMillis(10);
        assertThat(mBucket.level(lapsed)).isBetween(0.0, 10.0);
    }

    // An answer is lost and the claimant gives up; a datagram that is carried twice gives the same
    // tokens back twice, and the customer would have more than before.
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
        final Instant later = START.plus(ShareBucket.TOKEN_VALIDITY).plusMillis(1);
        final double level = mBucket.level(later);
        mBucket.returnTokens(key(1), later);
        assertThat(mBucket.level(later)).isEqualTo(level);
    }

    @Test
    void repeatedRequestIsIssuedOnce() {
        assertThat(mBucket.issue(key(1), 100, false, START)).isTrue();
        assertThat(mBucket.issue(key(1), 100, false, START)).isFalse();
        assertThat(mBucket.level(START)).isEqualTo(800);
    }

    /** Small claims would use up a share before a large claim finds it and others full at once. */
    @Test
    void smallClaimsLeaveTokensForRejectedSplitClaim() {
        mBucket.issue(key(1), 500, false, START);
        assertThat(issuePart(2, 560, 2_000)).isFalse();
        mBucket.returnTokens(key(1), START);

        assertThat(mBucket.issue(key(3), 400, false, START)).isTrue();
        assertThat(mBucket.issue(key(4), 400, false, START)).isFalse();
        assertThat(issuePart(5, 560, 2_000)).isTrue();
    }

    /** Claims were compared by their parts, which are alike however large the claims are. */
    @Test
    void partOfSmallerClaimWaitsForLargerOne() {
        mBucket.issue(key(1), 700, false, START);
        assertThat(issuePart(2, 500, 2_000)).isFalse();
        mBucket.returnTokens(key(1), START);

        assertThat(issuePart(3, 500, 1_000)).isTrue();
        assertThat(issuePart(4, 500, 1_000)).isFalse();
        assertThat(issuePart(5, 500, 2_000)).isTrue();
    }

    private boolean issuePart(final long number, final long tokens, final long claimTokens) {
        return mBucket.issue(
                key(number), new ShareBucket.ClaimPart(tokens, claimTokens), false, START);
    }

    @Test
    void lowerLimitAppliesAtOnce() {
        mBucket.setLimits(new ShareLimits(100, 90, 30, 20, 15), START);
        assertThat(mBucket.level(START)).isEqualTo(90);
    }

    // All daemons are killed and come back. Before, they had issued all they had and overdrawn it;
    // a share that started full would issue as much again within the same window.
    @Test
    void restartedShareHoldsOnlyItsCredit() {
        final ShareBucket restarted = ShareBucket.restarted(LIMITS, START);
        assertThat(restarted.level(START)).isEqualTo(-100);
        assertThat(restarted.level(START.plusMillis(500))).isEqualTo(400);
    }
}
