package org.whinhead.serving.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.store.StorePosition;

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

    // Guards against two daemons that order servers at the same time: a holder was suspended past
    // its term, and its steady clock, which had stopped, showed the lease as valid.
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

    // Guards against seconds without a lease holder after the response to a claim was lost: the
    // claim was appended, and its daemon waited for the term as if another daemon held the lease.
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

    // Guards against two holders at the same time: the store returned from an older copy in which
    // this daemon still has the lease that another one has taken since.
    @Test
    void ownRecordOfOlderCopyIsNotClaimedWithinTheTerm() {
        acquire(START);
        mLease.recordLost();
        mLease.recordRead(held("other", 9, 9), START.plusSeconds(6));
        final Instant returned = START.plusSeconds(7);
        mLease.recordRead(held("self", 1, StorePosition.of(1, 2)), returned);
        assertThat(mLease.canClaim(returned)).isFalse();
        assertThat(mLease.canClaim(returned.plusSeconds(3))).isFalse();
        assertThat(mLease.canClaim(returned.plusSeconds(5))).isTrue();
        assertThat(mLease.claimRecord(List.of()).token()).isGreaterThan(9);
    }

    // Guards against the same with a lease that was released before the other daemon took it.
    @Test
    void releaseOfOlderCopyIsNotTakenWithinTheTerm() {
        mLease.recordRead(held("other", 9, 9), START);
        mLease.recordRead(held("", 8, StorePosition.of(1, 7)), START.plusSeconds(1));
        assertThat(mLease.canClaim(START.plusSeconds(2))).isFalse();
        assertThat(mLease.canClaim(START.plusSeconds(6))).isTrue();
    }

    // Guards against seconds without usage reports and orders: the store forgot the lease of a
    // holder that nobody else can have replaced within its term.
    @Test
    void holderForgottenByOlderCopyContinues() {
        mLease.recordRead(held("other", 5, 10), START.minusSeconds(9));
        mLease.recordGranted(mLease.claimRecord(List.of()), 12, START, START);
        mLease.recordLost();
        mLease.recordRead(held("other", 5, StorePosition.of(1, 8)), START.plusSeconds(1));
        assertThat(mLease.canClaim(START.plusSeconds(1))).isTrue();
        assertThat(mLease.canClaim(START.plusMillis(2_500))).isFalse();
    }

    // Guards against a holder that was suspended meanwhile and claims the lease of its successor.
    @Test
    void holderForgottenByOlderCopyYieldsToItsSuccessor() {
        acquire(START);
        mLease.recordLost();
        final long token = StorePosition.of(1, 8);
        mLease.recordRead(held("other", token, StorePosition.of(1, 9)), START.plusSeconds(1));
        assertThat(mLease.canClaim(START.plusSeconds(1))).isFalse();
    }

    // Guards against a usage window reported twice with different counts: the decision was written
    // and reported, and the store returned from a copy without it.
    @Test
    void decisionThatOlderCopyLacksIsKept() {
        final UsageDecision earlier = new UsageDecision(40, Map.of("clinic", 3L), true);
        final UsageDecision later = new UsageDecision(41, Map.of("clinic", 7L), true);
        mLease.recordRead(
                new StoredLease(
                        Optional.of(new LeaseRecord("other", 5, 9, List.of(earlier, later))), 9),
                START);
        final StoredLease copy =
                new StoredLease(
                        Optional.of(new LeaseRecord("other", 5, 8, List.of(earlier))),
                        StorePosition.of(1, 8));
        mLease.recordRead(copy, START.plusSeconds(1));
        mLease.recordRead(copy, START.plusSeconds(2));
        assertThat(mLease.decisions()).containsExactly(earlier, later);
    }

    // Guards against a usage window reported twice with different counts: the first holder reported
    // it and died, and the next one counted it again. The next holder reads the decision instead.
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

    // Guards against a window reported twice with different counts: its decision was lost with the
    // store's last records, and the next holder decided again.
    @Test
    void decisionThatHolderTellsOfIsKept() {
        final UsageDecision told = new UsageDecision(41, Map.of("clinic", 7L), true);
        mLease.recordPeerDecision(told);
        mLease.recordRead(held("other", 5, StorePosition.of(1, 8)), START);
        assertThat(mLease.decisions()).containsExactly(told);
    }

    @Test
    void storedDecisionReplacesOneThatWasTold() {
        final UsageDecision stored = new UsageDecision(41, Map.of("clinic", 8L), false);
        mLease.recordPeerDecision(new UsageDecision(41, Map.of("clinic", 7L), true));
        mLease.recordRead(
                new StoredLease(Optional.of(new LeaseRecord("other", 5, 9, List.of(stored))), 9),
                START);
        assertThat(mLease.decisions()).containsExactly(stored);
    }

    // Guards against windows that are never reported without a return from an older copy.
    @Test
    void withoutOlderCopyAllDecisionsAreKnown() {
        mLease.recordPosition(7, START, START);
        assertThat(mLease.isDecisionUnknown(START.minusSeconds(9))).isFalse();
    }

    @Test
    void decisionOfAnotherHolderBeforeOlderCopyMayBeUnknown() {
        mLease.recordRead(held("other", 5, 10), START);
        mLease.recordPosition(StorePosition.of(1, 8), START, START);
        mLease.recordPosition(StorePosition.of(1, 9), START.plusSeconds(1), START.plusSeconds(1));
        assertThat(mLease.isDecisionUnknown(START)).isTrue();
        assertThat(mLease.isDecisionUnknown(START.plusSeconds(1))).isFalse();
    }

    @Test
    void holderKnowsItsDecisionsBeforeOlderCopy() {
        acquire(START);
        returnFromOlderCopy(1, START.plusSeconds(6));
        assertThat(mLease.isDecisionUnknown(START.plusSeconds(3))).isFalse();
        assertThat(mLease.isDecisionUnknown(START.plusSeconds(5))).isTrue();
        assertThat(mLease.isDecisionUnknown(START.plusSeconds(7))).isFalse();
    }

    @Test
    void holderKnowsItsDecisionsBeforeTwoOlderCopies() {
        acquire(START);
        returnFromOlderCopy(1, START.plusSeconds(3));
        returnFromOlderCopy(2, START.plusSeconds(5));
        assertThat(mLease.isDecisionUnknown(START.plusSeconds(4))).isFalse();
    }

    // Guards against a former holder that decides what its successor has reported.
    @Test
    void formerHolderMayMissDecisionsBeforeOlderCopy() {
        acquire(START);
        mLease.recordRead(held("other", 5, 10), START.plusSeconds(5));
        returnFromOlderCopy(1, START.plusSeconds(6));
        assertThat(mLease.isDecisionUnknown(START.plusSeconds(1))).isTrue();
    }

    // Guards against a holder that was suspended and decides what its successor has reported.
    @Test
    void suspendedHolderMayMissDecisionsBeforeOlderCopy() {
        acquire(START);
        final Instant returned = START.plusSeconds(3);
        mLease.recordPosition(StorePosition.of(1, 0), returned, returned.plusSeconds(60));
        assertThat(mLease.isDecisionUnknown(START.plusSeconds(2))).isTrue();
    }

    private void returnFromOlderCopy(final long era, final Instant now) {
        mLease.recordPosition(StorePosition.of(era, 0), now, now);
    }

    // Guards against windows that are left out because another daemon precedes their holder.
    @Test
    void holderPrecedesOthersAfterOlderCopy() {
        final Instant returned = START.plusSeconds(4);
        final StoredLease copy =
                new StoredLease(
                        Optional.of(new LeaseRecord("self", 1, 1, List.of())),
                        StorePosition.of(1, 1));
        acquire(START);
        mLease.recordLost();
        mLease.recordRead(copy, returned);
        final DutyLease other = new DutyLease("other", TERM);
        other.recordRead(held("self", 1, 2), START);
        other.recordRead(copy, returned);
        assertThat(mLease.canClaim(returned.plusMillis(4_100))).isTrue();
        assertThat(other.canClaim(returned.plusMillis(4_100))).isFalse();
        assertThat(other.canClaim(returned.plusMillis(5_000))).isTrue();
    }
}
