package org.whinhead.gateway.quota;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.store.MetadataStore;
import org.whinhead.gateway.store.StorePage;
import org.whinhead.gateway.store.StoreRecord;
import org.whinhead.gateway.store.StoreTopic;
import org.whinhead.gateway.time.GuardedTask;
import org.whinhead.serving.member.Member;
import org.whinhead.serving.member.MemberTable;
import org.whinhead.serving.quota.ClockReading;
import org.whinhead.serving.quota.HeldShares;
import org.whinhead.serving.quota.ShareHolders;
import org.whinhead.serving.quota.ShareTable;

/**
 * Reads the table of shares from the store, and writes it while this daemon holds the lease.
 *
 * <p>The table is written once the set of daemons is stable, and again if a holder is gone for long
 * or if all holders are gone. So it costs one read at a start, and depends neither on the lease
 * holder nor on the store's availability.
 */
public final class ShareTableSynchronizer {

    private static final Logger LOG = LoggerFactory.getLogger(ShareTableSynchronizer.class);

    private static final String TABLE_KEY = "shares";

    /**
     * Interval between reads of the table; a new holder reads it long before its shares become
     * active.
     */
    private static final Duration READ_INTERVAL = Duration.ofMinutes(5);

    /** Pause before a read that failed or found no table is repeated. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(1_000);

    /** Maximum random delay of a read, as all daemons read a newer version at once. */
    private static final Duration MAX_READ_JITTER = Duration.ofMillis(400);

    /** Time without a change of members before the first table is written. */
    private static final Duration SETTLE_TIME = Duration.ofMillis(2_000);

    /** Time without a report of a holder until its shares are reassigned. */
    private static final Duration HOLDER_TIMEOUT = Duration.ofMinutes(5);

    /**
     * Time without a report of any holder until all shares are reassigned. The lease takes about as
     * long to pass to another daemon.
     */
    private static final Duration ALL_HOLDERS_TIMEOUT = Duration.ofSeconds(6);

    /** The same in report intervals, which are longer in large deployments. */
    private static final int ALL_HOLDERS_MISSED_REPORTS = 3;

    /** Maximum difference of the daemons' clocks at a change of holders. */
    private static final Duration CLOCK_MARGIN = Duration.ofMinutes(1);

    private final EventLoop mLoop;
    private final ServingState mState;
    private final MemberTable mMembers;
    private final MetadataStore mStore;
    private final BooleanSupplier mHoldsDuties;
    private final Random mRandom = new Random();
    private final Map<InetSocketAddress, Instant> mLastHeardAt = new HashMap<>();
    private OptionalLong mTopicEnd = OptionalLong.empty();
    private long mStoredVersion;
    private long mMembersVersion = -1;
    private Instant mMembersChangedAt;
    private Instant mAnyHolderHeardAt;
    private boolean mCallPending;
    private ScheduledFuture<?> mNextRead;

    /**
     * Creates a synchronizer that is not started.
     *
     * @param loop the event loop
     * @param state the quotas and the clocks
     * @param members the known daemons
     * @param store the store of the table
     * @param holdsDuties whether this daemon holds the lease
     */
    public ShareTableSynchronizer(
            final EventLoop loop,
            final ServingState state,
            final MemberTable members,
            final MetadataStore store,
            final BooleanSupplier holdsDuties) {
        mLoop = loop;
        mState = state;
        mMembers = members;
        mStore = store;
        mHoldsDuties = holdsDuties;
    }

    /** Starts to read the table. */
    public void start() {
        mMembersChangedAt = mState.clock().instant();
        mAnyHolderHeardAt = mMembersChangedAt;
        read();
    }

    /**
     * Schedules a read if another daemon has a newer table.
     *
     * @param version its version; 0 without a table
     */
    public void onPeerVersion(final long version) {
        if (version > knownVersion()) {
            scheduleRead(Duration.ofMillis(mRandom.nextInt((int) MAX_READ_JITTER.toMillis())));
        }
    }

    private long knownVersion() {
        return table().map(ShareTable::version).orElse(0L);
    }

    private Optional<ShareTable> table() {
        return mState.quotas().heldShares().table();
    }

    /** Schedules a read, unless an earlier one is scheduled. */
    private void scheduleRead(final Duration delay) {
        if (mNextRead != null) {
            if (mNextRead.getDelay(TimeUnit.MILLISECONDS) <= delay.toMillis()) {
                return;
            }
            mNextRead.cancel(false);
        }
        mNextRead = mLoop.schedule(this::read, delay.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void read() {
        mNextRead = null;
        if (mCallPending) {
            scheduleRead(RETRY_PAUSE);
            return;
        }
        mCallPending = true;
        final ClockReading startedAt = mState.moment();
        mStore.newest(StoreTopic.SHARES)
                .whenComplete(
                        (page, failure) -> {
                            mCallPending = false;
                            if (failure == null) {
                                GuardedTask.run(
                                        LOG,
                                        "apply table of shares",
                                        () -> applyPage(page, startedAt));
                            }
                            scheduleRead(table().isPresent() ? READ_INTERVAL : RETRY_PAUSE);
                        });
    }

    private void applyPage(final StorePage page, final ClockReading readAt) {
        mTopicEnd = OptionalLong.of(page.end());
        final Optional<ShareTable> storedTable = decodeStoredTable(page);
        mStoredVersion = storedTable.map(ShareTable::version).orElse(0L);
        final long knownVersion = knownVersion();
        storedTable.ifPresent(table -> mState.quotas().heldShares().updateTable(table, readAt));
        if (storedTable.isPresent() && storedTable.get().version() > knownVersion) {
            LOG.atInfo()
                    .addKeyValue("version", storedTable.get().version())
                    .addKeyValue("before", knownVersion)
                    .log("table of shares in force");
        }
    }

    private static Optional<ShareTable> decodeStoredTable(final StorePage page) {
        for (final StoreRecord record : page.records()) {
            if (record.key().equals(TABLE_KEY) && record.value().isPresent()) {
                try {
                    return Optional.of(QuotaCodec.decodeTable(record.value().get()));
                } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
                    LOG.error("table of shares not readable, the previous one stays in force", e);
                }
            }
        }
        return Optional.empty();
    }

    /**
     * Writes the table if it is missing or contains gone daemons; called several times a second.
     */
    public void tick() {
        final Instant now = mState.clock().instant();
        if (mMembers.addressChangeCount() != mMembersVersion) {
            mMembersVersion = mMembers.addressChangeCount();
            mMembersChangedAt = now;
        }
        if (table().stream().anyMatch(this::hasPresentHolder)) {
            mAnyHolderHeardAt = now;
        }
        if (mTopicEnd.isEmpty() || mCallPending || !mHoldsDuties.getAsBoolean()) {
            mLastHeardAt.clear();
            return;
        }
        tableToWrite(now).ifPresent(this::write);
    }

    private Optional<ShareTable> tableToWrite(final Instant now) {
        final Optional<ShareTable> table = table();
        if (table.isEmpty()) {
            return Duration.between(mMembersChangedAt, now).compareTo(SETTLE_TIME) < 0
                    ? Optional.empty()
                    : Optional.of(ShareTable.initial(ShareHolders.interleaveDomains(members())));
        }
        if (mStoredVersion < table.get().version()) {
            // The store was restored from an older copy: writes the table in force again.
            return table;
        }
        final ShareTable next =
                areAllHoldersGone(table.get(), now)
                        ? replaceAllHolders(table.get())
                        : replaceGoneHolders(table.get(), now);
        return next.version() > table.get().version() ? Optional.of(next) : Optional.empty();
    }

    private List<Member> members() {
        final List<Member> members = new ArrayList<>(mMembers.peers());
        members.add(mMembers.self());
        return members;
    }

    private boolean hasPresentHolder(final ShareTable table) {
        return members().stream().anyMatch(member -> table.hasHolder(member.peerAddress()));
    }

    /**
     * Returns whether all holders are gone rather than cut off: half of a deployment hears none of
     * them, and the lease, which the holders would have kept, has passed to a daemon of this half.
     */
    private boolean areAllHoldersGone(final ShareTable table, final Instant now) {
        final Duration silence = Duration.between(mAnyHolderHeardAt, now);
        final Duration reports = mMembers.reportInterval().multipliedBy(ALL_HOLDERS_MISSED_REPORTS);
        return silence.compareTo(ALL_HOLDERS_TIMEOUT) > 0
                && silence.compareTo(reports) > 0
                && 2 * members().size() >= table.daemons();
    }

    private ShareTable replaceAllHolders(final ShareTable table) {
        LOG.atWarn()
                .addKeyValue("version", table.version())
                .addKeyValue("daemons", members().size())
                .log("no holder of shares is left, all shares reassigned");
        return table.reassign(
                holder -> true,
                ShareHolders.interleaveDomains(members()),
                mState.timeOfDay().instant());
    }

    private ShareTable replaceGoneHolders(final ShareTable table, final Instant now) {
        final Set<InetSocketAddress> present = new HashSet<>();
        members().forEach(member -> present.add(member.peerAddress()));
        present.forEach(address -> mLastHeardAt.put(address, now));
        final List<InetSocketAddress> successors =
                ShareHolders.interleaveDomains(members()).stream()
                        .filter(address -> !table.hasHolder(address))
                        .toList();
        return table.reassign(
                holder -> isGone(holder, now),
                successors.isEmpty() ? ShareHolders.interleaveDomains(members()) : successors,
                mState.timeOfDay().instant().plus(HeldShares.TABLE_VALIDITY).plus(CLOCK_MARGIN));
    }

    private boolean isGone(final InetSocketAddress holder, final Instant now) {
        final Instant heardAt = mLastHeardAt.computeIfAbsent(holder, address -> now);
        return Duration.between(heardAt, now).compareTo(HOLDER_TIMEOUT) > 0;
    }

    private void write(final ShareTable table) {
        final byte[] encoded = QuotaCodec.encode(table);
        mCallPending = true;
        mStore.appendAt(StoreTopic.SHARES, TABLE_KEY, encoded, mTopicEnd.getAsLong())
                .whenComplete(
                        (end, failure) -> {
                            mCallPending = false;
                            mTopicEnd = OptionalLong.empty();
                            LOG.atInfo()
                                    .addKeyValue("version", table.version())
                                    .addKeyValue("written", failure == null && end.isPresent())
                                    .addKeyValue("failure", String.valueOf(failure))
                                    .log("table of shares written");
                            // Only a table that was read is in force: the answer may be lost.
                            scheduleRead(Duration.ZERO);
                        });
    }
}
