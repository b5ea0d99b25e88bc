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
import org.whinhead.serving.member.Member;
import org.whinhead.serving.member.MemberTable;
import org.whinhead.serving.quota.ClockReading;
import org.whinhead.serving.quota.HeldShares;
import org.whinhead.serving.quota.ShareHolders;
import org.whinhead.serving.quota.ShareTable;

/**
 * Reads the table of shares from the store, and writes it where this daemon holds the duties.
 *
 * <p>It is written once, when the daemons have found each other, and again only if one of its
 * holders is gone for long. So it costs a read at a start, and nothing depends on who holds the
 * duties or on whether the store is there.
 */
public final class ShareTableSynchronizer {

    private static final Logger LOG = LoggerFactory.getLogger(ShareTableSynchronizer.class);

    private static final String TABLE_KEY = "shares";

    /** How often the table is read, so that a holder learns long before it must that it is one. */
    private static final Duration READ_INTERVAL = Duration.ofMinutes(5);

    /** The pause before a read that failed, or found no table, is repeated. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(1_000);

    /** The reads of all daemons that hear of a new table are spread over this time. */
    private static final Duration MAX_READ_JITTER = Duration.ofMillis(400);

    /** How long no new daemon must have been heard of before the first table is written. */
    private static final Duration SETTLE_TIME = Duration.ofMillis(2_000);

    /** How long a holder is silent before its shares are given to others. */
    private static final Duration HOLDER_TIMEOUT = Duration.ofMinutes(5);

    /** What the daemons' clocks may differ by at a change of holders. */
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
    private boolean mCallPending;
    private ScheduledFuture<?> mNextRead;

    /**
     * Makes a keeper that has read nothing yet.
     *
     * @param loop where everything runs
     * @param state the quotas and the clocks
     * @param members the daemons
     * @param store where the table is kept
     * @param holdsDuties tells whether this daemon may write it
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

    /** Starts to read. */
    public void start() {
        mMembersChangedAt = mState.clock().instant();
        read();
    }

    /**
     * Takes the version that another daemon goes by.
     *
     * @param version its version; 0 if it has none
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

    /** Reads after a time, unless a read is due before. */
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
        final ClockReading before = mState.moment();
        mStore.newest(StoreTopic.SHARES)
                .whenComplete(
                        (page, failure) -> {
                            mCallPending = false;
                            if (failure == null) {
                                applyPage(page, before);
                            }
                            scheduleRead(table().isPresent() ? READ_INTERVAL : RETRY_PAUSE);
                        });
    }

    private void applyPage(final StorePage page, final ClockReading readAt) {
        mTopicEnd = OptionalLong.of(page.end());
        final Optional<ShareTable> stored = decodeStoredTable(page);
        mStoredVersion = stored.map(ShareTable::version).orElse(0L);
        final long known = knownVersion();
        stored.ifPresent(table -> mState.quotas().heldShares().updateTable(table, readAt));
        if (stored.isPresent() && stored.get().version() > known) {
            LOG.atInfo()
                    .addKeyValue("version", stored.get().version())
                    .addKeyValue("before", known)
                    .log("table of shares in force");
        }
    }

    private static Optional<ShareTable> decodeStoredTable(final StorePage page) {
        for (final StoreRecord record : page.records()) {
            if (record.key().equals(TABLE_KEY) && record.value().isPresent()) {
                try {
                    return Optional.of(QuotaCodec.decodeTable(record.value().get()));
                } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
                    LOG.error("table of shares not understood, the one before stays in force", e);
                }
            }
        }
        return Optional.empty();
    }

    /** Writes the table if it is missing or names daemons that are gone; to be called often. */
    public void tick() {
        final Instant now = mState.clock().instant();
        if (mMembers.addressChangeCount() != mMembersVersion) {
            mMembersVersion = mMembers.addressChangeCount();
            mMembersChangedAt = now;
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
            // The store came back from an older copy; what is in force is written again.
            return table;
        }
        final ShareTable next = replaceGoneHolders(table.get(), now);
        return next.version() > table.get().version() ? Optional.of(next) : Optional.empty();
    }

    private List<Member> members() {
        final List<Member> members = new ArrayList<>(mMembers.peers());
        members.add(mMembers.self());
        return members;
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
        mCallPending = true;
        mStore.appendAt(
                        StoreTopic.SHARES,
                        TABLE_KEY,
                        QuotaCodec.encode(table),
                        mTopicEnd.getAsLong())
                .whenComplete(
                        (end, failure) -> {
                            mCallPending = false;
                            mTopicEnd = OptionalLong.empty();
                            LOG.atInfo()
                                    .addKeyValue("version", table.version())
                                    .addKeyValue("written", failure == null && end.isPresent())
                                    .addKeyValue("failure", String.valueOf(failure))
                                    .log("table of shares written");
                            // Only what was read is in force: the answer may be lost.
                            scheduleRead(Duration.ZERO);
                        });
    }
}
