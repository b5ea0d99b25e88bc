package org.whinhead.serving.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class DutyLeaseTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration TERM = Duration.ofSeconds(3);

    private final DutyLease mLease = new DutyLease("self", TERM);

    private static StoredLease held(final String holder, final long token, final long end) {
        return new StoredLease(Optional.of(new LeaseRecord(holder, token, end, List.of())), end);
    }

    private void acquire(final Instant at) {
        mLease.recordRead(new StoredLease(Optional.empty(), 0), at);
        mLease.recordGranted(mLease.claimRecord(List.of()), 1, at, at);
    }

    @Test
    void leaseWithoutRecordCanBeClaimed() {
        mLease.recordRead(new StoredLease(Optional.empty(), 0), START);
        assertThat(mLease.canClaim(START)).isTrue();
    }

    @Test
    void leaseOfAnotherHolderCanBeClaimedAfterItsTerm() {
        mLease.recordRead(held("other", 5, 10), START);
        mLease.recordRead(held("other", 5, 11), START.plusSeconds(2));
        assertThat(mLease.canClaim(START.plusSeconds(5))).isFalse();
        assertThat(mLease.canClaim(START.plusSeconds(7))).isTrue();
        assertThat(mLease.claimRecord(List.of()).token()).isGreaterThan(5);
    }

    // Two daemons order servers by turns. The holder was suspended past its lease; its steady clock
    // stood still meanwhile, so that it took the lease for fresh when it woke.
    @Test
    void suspendedHolderHasNoFencingToken() {
        acquire(START);
        final Instant steady = START.plusMillis(500);
        assertThat(mLease.fencingToken(steady, START.plusMillis(500))).isPresent();
        assertThat(mLease.fencingToken(steady, START.plusSeconds(20))).isEmpty();
    }

    @Test
    void fencingTokenExpiresBeforeTermWithoutRenewal() {
        acquire(START);
        assertThat(mLease.fencingToken(START.plusMillis(2_200), START.plusMillis(2_200)))
                .isPresent();
        assertThat(mLease.fencingToken(START.plusMillis(2_400), START.plusMillis(2_400))).isEmpty();
    }

    // No duty is done for seconds after the answer to a claim was lost: the claim had landed, and
    // its own daemon waited for the lease of a stranger to run out.
    @Test
    void ownRecordCanBeClaimedAtOnce() {
        acquire(START);
        mLease.recordLost();
        mLease.recordRead(held("self", 1, 2), START.plusSeconds(1));
        assertThat(mLease.canClaim(START.plusSeconds(1))).isTrue();
        assertThat(mLease.claimRecord(List.of()).token()).isGreaterThan(1);
    }

    @Test
    void releasedLeaseCanBeClaimedAtOnce() {
        mLease.recordRead(held("other", 5, 10), START);
        mLease.recordRead(held("", 5, 11), START.plusSeconds(1));
        assertThat(mLease.canClaim(START.plusSeconds(1))).isTrue();
    }

    // A usage window is reported twice with different counts. The first holder had reported it and
    // died; the next one counted the window anew. It finds the decision with the lease instead.
    @Test
    void decisionsAreReadWithLease() {
        final UsageDecision decision = new UsageDecision(7, Map.of("clinic", 3L), false);
        mLease.recordRead(
                new StoredLease(Optional.of(new LeaseRecord("other", 5, 9, List.of(decision))), 10),
                START);
        assertThat(mLease.decisions()).containsExactly(decision);
    }

    @Test
    void olderReadIsIgnored() {
        mLease.recordRead(held("other", 6, 12), START);
        mLease.recordRead(held("self", 5, 10), START.plusSeconds(1));
        assertThat(mLease.canClaim(START.plusSeconds(1))).isFalse();
    }
}
