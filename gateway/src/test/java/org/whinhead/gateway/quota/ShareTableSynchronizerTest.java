package org.whinhead.gateway.quota;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.exchange.TestServing;
import org.whinhead.gateway.store.MetadataStore;
import org.whinhead.gateway.store.StorePage;
import org.whinhead.gateway.store.StoreRecord;
import org.whinhead.gateway.store.StoreTopic;
import org.whinhead.serving.member.Member;
import org.whinhead.serving.member.MemberStatus;
import org.whinhead.serving.member.MemberTable;
import org.whinhead.serving.quota.HeldShares;
import org.whinhead.serving.quota.ShareTable;

class ShareTableSynchronizerTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final FakeStore mStore = new FakeStore();
    private final MemberTable mMembers = new MemberTable(member(1));
    private Instant mNow = START;
    private final ServingState mState = TestServing.state(() -> mNow);
    private boolean mHoldsDuties = true;
    private ShareTableSynchronizer mSynchronizer;

    /**
     * Stores the table in memory; can be unavailable, and can lose answers to writes that it
     * carries out.
     */
    private static final class FakeStore implements MetadataStore {
        private Optional<byte[]> mValue = Optional.empty();
        private long mEnd;
        private boolean mUnavailable;
        private boolean mLosesAnswers;
        private int mReads;

        @Override
        public CompletableFuture<StorePage> newest(final StoreTopic topic) {
            mReads++;
            if (mUnavailable) {
                return CompletableFuture.failedFuture(new IllegalStateException("unavailable"));
            }
            final List<StoreRecord> records =
                    mValue.map(value -> List.of(record(value))).orElse(List.of());
            return CompletableFuture.completedFuture(new StorePage(records, mEnd, false));
        }

        private StoreRecord record(final byte[] value) {
            return new StoreRecord("shares", Optional.of(value), mEnd - 1);
        }

        @Override
        public CompletableFuture<StorePage> read(
                final StoreTopic topic, final long from, final Duration wait) {
            return newest(topic);
        }

        @Override
        public CompletableFuture<Long> append(
                final StoreTopic topic, final String key, final byte[] value) {
            throw new IllegalStateException("unconditional write");
        }

        @Override
        public CompletableFuture<OptionalLong> appendAt(
                final StoreTopic topic, final String key, final byte[] value, final long end) {
            if (end != mEnd) {
                return CompletableFuture.completedFuture(OptionalLong.empty());
            }
            mEnd++;
            mValue = Optional.of(value);
            return mLosesAnswers
                    ? CompletableFuture.failedFuture(new IllegalStateException("no answer"))
                    : CompletableFuture.completedFuture(OptionalLong.of(mEnd));
        }
    }

    private static Member member(final int number) {
        final InetSocketAddress address = new InetSocketAddress("127.0.0." + number, 7600);
        return new Member("edge-" + number, "i-" + number, "domain-a", address, address);
    }

    @BeforeEach
    void start() {
        mChannel.freezeTime();
        mSynchronizer =
                new ShareTableSynchronizer(
                        mChannel.eventLoop(), mState, mMembers, mStore, () -> mHoldsDuties);
    }

    /** Advances the time in steps of 200 ms; the given daemons report at each step. */
    private void advance(final Duration time, final int... heard) {
        final Instant end = mNow.plus(time);
        while (mNow.isBefore(end)) {
            mNow = mNow.plusMillis(200);
            mChannel.advanceTimeBy(200, TimeUnit.MILLISECONDS);
            mChannel.runScheduledPendingTasks();
            for (final int number : heard) {
                mMembers.recordReport(member(number), MemberStatus.READY, mNow);
            }
            mMembers.expire(mNow);
            mSynchronizer.tick();
        }
    }

    private Optional<ShareTable> table() {
        return mState.quotas().heldShares().table();
    }

    @Test
    void firstTableIsWrittenOnceMembersAreStable() {
        mSynchronizer.start();
        advance(Duration.ofSeconds(1), 2);
        assertThat(table()).isEmpty();
        advance(Duration.ofSeconds(4), 2, 3);
        assertThat(table().orElseThrow().version()).isEqualTo(1);
        assertThat(table().orElseThrow().daemons()).isEqualTo(3);
        assertThat(table().orElseThrow().hasHolder(member(3).peerAddress())).isTrue();
    }

    @Test
    void daemonWithoutLeaseWritesNothing() {
        mHoldsDuties = false;
        mSynchronizer.start();
        advance(Duration.ofSeconds(10), 2);
        assertThat(mStore.mValue).isEmpty();
    }

    // Guards against a share with two issuers: the answer to the write is lost, so a daemon must
    // use the table that it reads, not the one that it meant to write.
    @Test
    void tableIsReadAfterLostWriteAnswer() {
        mStore.mLosesAnswers = true;
        mSynchronizer.start();
        advance(Duration.ofSeconds(5), 2);
        assertThat(table()).isPresent();
        assertThat(mStore.mEnd).isEqualTo(1);
    }

    // Guards against a share with two issuers: two daemons that both assume they hold the lease
    // write a first table each.
    @Test
    void tableOfAnotherDaemonIsNotReplaced() {
        mSynchronizer.start();
        advance(Duration.ofMillis(600));
        mStore.mValue =
                Optional.of(
                        QuotaCodec.encode(ShareTable.initial(List.of(member(9).peerAddress()))));
        mStore.mEnd = 1;
        advance(Duration.ofSeconds(5), 2);
        assertThat(table().orElseThrow().hasHolder(member(9).peerAddress())).isTrue();
        assertThat(mStore.mEnd).isEqualTo(1);
    }

    @Test
    void newerPeerVersionCausesRead() {
        mHoldsDuties = false;
        mSynchronizer.start();
        mStore.mValue =
                Optional.of(
                        QuotaCodec.encode(ShareTable.initial(List.of(member(2).peerAddress()))));
        mStore.mEnd = 1;
        mSynchronizer.onPeerVersion(1);
        advance(Duration.ofMillis(600));
        assertThat(table()).isPresent();
    }

    @Test
    void knownTableIsReadAtLongInterval() {
        mSynchronizer.start();
        advance(Duration.ofSeconds(5), 2);
        final int reads = mStore.mReads;
        advance(Duration.ofMinutes(4), 2);
        assertThat(mStore.mReads).isEqualTo(reads);
        advance(Duration.ofMinutes(2), 2);
        assertThat(mStore.mReads).isGreaterThan(reads);
    }

    // Guards against the loss of a gone VM's shares. Others get them, but only once a holder that
    // is merely cut off has certainly stopped issuing tokens.
    @Test
    void sharesOfGoneDaemonAreReassignedWithDelay() {
        mSynchronizer.start();
        advance(Duration.ofSeconds(5), 2, 3);
        advance(Duration.ofMinutes(7), 2);
        final ShareTable table = table().orElseThrow();
        assertThat(table.version()).isEqualTo(2);
        assertThat(table.hasHolder(member(3).peerAddress())).isFalse();
        final Instant later = START.plus(HeldShares.TABLE_VALIDITY);
        assertThat(table.slots().stream().filter(slot -> slot.activeFrom().isAfter(later)))
                .isNotEmpty();
    }

    // Guards against customers that are refused for an hour and more as all daemons were replaced.
    @Test
    void sharesAreReassignedAtOnceIfAllHoldersAreGone() {
        writeTable(List.of(member(7), member(8), member(9)));
        mSynchronizer.start();
        advance(Duration.ofSeconds(8), 2, 3);
        final ShareTable table = table().orElseThrow();
        assertThat(table.slots())
                .allSatisfy(
                        slot -> {
                            assertThat(slot.holder())
                                    .isIn(
                                            member(1).peerAddress(),
                                            member(2).peerAddress(),
                                            member(3).peerAddress());
                            assertThat(slot.activeFrom()).isBeforeOrEqualTo(mNow);
                        });
    }

    // Guards against shares that two daemons issue: the old holders are cut off, not gone.
    @Test
    void oneHeardHolderKeepsTheOthersShares() {
        writeTable(List.of(member(3), member(8), member(9)));
        mSynchronizer.start();
        advance(Duration.ofSeconds(8), 2, 3);
        advance(Duration.ofSeconds(20), 2);
        advance(Duration.ofSeconds(1), 2, 3);
        advance(Duration.ofSeconds(20), 2, 3);
        assertThat(table().orElseThrow().hasHolder(member(9).peerAddress())).isTrue();
    }

    // Guards against shares that two daemons issue: a small part of the daemons has lost the rest.
    @Test
    void smallPartOfDeploymentTakesNoShares() {
        writeTable(
                List.of(
                        member(3), member(4), member(5), member(6), member(7), member(8),
                        member(9)));
        mSynchronizer.start();
        advance(Duration.ofMinutes(1), 2, 10);
        assertThat(table().orElseThrow().version()).isEqualTo(1);
    }

    private void writeTable(final List<Member> holders) {
        mStore.mValue =
                Optional.of(
                        QuotaCodec.encode(
                                ShareTable.initial(
                                        holders.stream().map(Member::peerAddress).toList())));
        mStore.mEnd = 1;
    }

    @Test
    void daemonThatIsSilentForOneMinuteKeepsItsShares() {
        mSynchronizer.start();
        advance(Duration.ofSeconds(5), 2, 3);
        advance(Duration.ofMinutes(1), 2);
        advance(Duration.ofMinutes(5), 2, 3);
        assertThat(table().orElseThrow().version()).isEqualTo(1);
    }

    // Guards against a missing table for daemons that start after the store was restored from an
    // older copy: the lease holder writes the table in force again.
    @Test
    void tableLostByStoreIsWrittenAgain() {
        mSynchronizer.start();
        advance(Duration.ofSeconds(5), 2);
        final ShareTable before = table().orElseThrow();
        mStore.mValue = Optional.empty();
        mStore.mEnd = 0;
        advance(Duration.ofMinutes(6), 2);
        assertThat(mStore.mValue).isPresent();
        assertThat(table()).contains(before);
    }

    @Test
    void tableStaysInForceDuringStoreOutage() {
        mSynchronizer.start();
        advance(Duration.ofSeconds(5), 2);
        mStore.mUnavailable = true;
        advance(Duration.ofMinutes(6), 2);
        assertThat(table()).isPresent();
    }
}
