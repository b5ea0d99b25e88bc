package org.whinhead.gateway.peers;

import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.whinhead.gateway.endpoint.EndpointConnections;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.exchange.TestServing;
import org.whinhead.gateway.generated.GatewayProto.EndpointNews;
import org.whinhead.gateway.generated.GatewayProto.StoreDigest;
import org.whinhead.gateway.store.EndpointTopicListener;
import org.whinhead.gateway.store.StoreRecord;
import org.whinhead.gateway.store.StoreTopic;
import org.whinhead.gateway.store.TopicFollower;
import org.whinhead.gateway.store.TopicListener;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.member.Member;
import org.whinhead.serving.member.MemberStatus;
import org.whinhead.serving.member.MemberTable;
import org.whinhead.serving.reach.EndpointReach;

/**
 * Daemons that follow the endpoints' records of one store, two of them for all, without a network.
 * Each message is lost with a fixed chance. Endpoints come, leave, crash, start again, change their
 * slots, and come and go within one read.
 */
final class DigestReadFleet {

    /** The time after a reader's own view lacks an endpoint within which all others must. */
    static final Duration MAX_LAG = Duration.ofSeconds(2);

    private static final int STEP_MILLIS = 10;
    private static final int CHECK_MILLIS = 50;
    private static final int HEARTBEAT_MILLIS = 500;
    private static final int LAPSE_MILLIS = 2_000;
    private static final double LOST = 0.2;
    private static final int MAX_WAY_MILLIS = 15;
    private static final int LATE_MILLIS = 120;
    private static final int LATE_MESSAGES = 50;
    private static final int FIRST_ENDPOINTS = 40;

    /**
     * The time after an outage in which a daemon keeps what it misses, with the interval at which
     * that is checked.
     */
    private static final Duration GRACE = Duration.ofMillis(2_800);

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final Random mRandom;
    private final FleetStore mStore;
    private final List<Daemon> mDaemons = new ArrayList<>();
    private final Map<String, Endpoint> mEndpoints = new TreeMap<>();
    private final Map<String, Instant> mGoneAtReader = new HashMap<>();
    private final List<String> mLate = new ArrayList<>();
    private int mMillis;
    private int mNextEndpoint;

    DigestReadFleet(final int daemons, final long seed) {
        mRandom = new Random(seed);
        mChannel.freezeTime();
        mStore = new FleetStore(mChannel.eventLoop(), mRandom);
        for (int index = 0; index < FIRST_ENDPOINTS; index++) {
            addEndpoint();
        }
        for (int index = 0; index < daemons; index++) {
            mDaemons.add(new Daemon(index));
        }
        mDaemons.forEach(daemon -> schedule(mRandom.nextInt(400), daemon.mFollower::start));
    }

    private Instant now() {
        return START.plusMillis(mMillis);
    }

    private void schedule(final int millis, final Runnable task) {
        mChannel.eventLoop().schedule(task, millis, TimeUnit.MILLISECONDS);
    }

    /** Lets time pass, with changes of endpoints at random at a rate. */
    DigestReadFleet play(final int millis, final double changesPerSecond) {
        final int end = mMillis + millis;
        while (mMillis < end) {
            mMillis += STEP_MILLIS;
            mChannel.advanceTimeBy(STEP_MILLIS, TimeUnit.MILLISECONDS);
            mChannel.runScheduledPendingTasks();
            writeHeartbeats();
            if (mRandom.nextDouble() < changesPerSecond * STEP_MILLIS / 1_000) {
                change();
            }
            if (mMillis % CHECK_MILLIS == 0) {
                mDaemons.forEach(Daemon::tick);
                check();
            }
        }
        return this;
    }

    /** Takes the store away, and the entries that lapse meanwhile without a record. */
    DigestReadFleet outage(final int millis) {
        mStore.setDown(true);
        play(millis, 0);
        mStore.setDown(false);
        mEndpoints
                .values()
                .forEach(
                        endpoint -> {
                            if (mMillis - endpoint.mWrittenAt > LAPSE_MILLIS) {
                                mStore.drop(endpoint.mId);
                                endpoint.mNextWrite = mMillis + mRandom.nextInt(1_800);
                            }
                        });
        mEndpoints.values().removeIf(endpoint -> !endpoint.mAlive && !isListed(endpoint));
        return this;
    }

    /** Has the store refuse some daemons for a time. */
    DigestReadFleet refuse(final int millis, final double share) {
        mDaemons.forEach(daemon -> daemon.mAccess.setRefused(mRandom.nextDouble() < share));
        play(millis, 1);
        mDaemons.forEach(daemon -> daemon.mAccess.setRefused(false));
        return this;
    }

    private boolean isListed(final Endpoint endpoint) {
        return mStore.listed().contains(endpoint.mId);
    }

    private void addEndpoint() {
        final Endpoint endpoint = new Endpoint("e-" + mNextEndpoint++);
        mEndpoints.put(endpoint.mId, endpoint);
        endpoint.write();
    }

    private void writeHeartbeats() {
        if (mStore.isDown()) {
            return;
        }
        for (final Endpoint endpoint : List.copyOf(mEndpoints.values())) {
            if (endpoint.mAlive && mMillis >= endpoint.mNextWrite) {
                endpoint.write();
            } else if (!endpoint.mAlive && mMillis - endpoint.mWrittenAt > LAPSE_MILLIS) {
                mStore.remove(endpoint.mId);
                mEndpoints.remove(endpoint.mId);
            }
        }
    }

    private void change() {
        if (mStore.isDown()) {
            return;
        }
        final List<Endpoint> all = List.copyOf(mEndpoints.values());
        final Endpoint endpoint = all.get(mRandom.nextInt(all.size()));
        switch (mRandom.nextInt(7)) {
            case 0, 1 -> addEndpoint();
            case 2 -> {
                endpoint.mLeaving = true;
                endpoint.write();
                schedule(200 + mRandom.nextInt(1_500), () -> remove(endpoint));
            }
            case 3 -> endpoint.mAlive = false;
            case 4 -> {
                addEndpoint();
                final Endpoint added = mEndpoints.get("e-" + (mNextEndpoint - 1));
                schedule(mRandom.nextInt(400), () -> remove(added));
            }
            case 5 -> {
                endpoint.mSlots++;
                endpoint.write();
            }
            default -> {
                endpoint.mStart = mMillis;
                endpoint.mLeaving = false;
                endpoint.write();
            }
        }
    }

    private void remove(final Endpoint endpoint) {
        if (!mStore.isDown()) {
            mStore.remove(endpoint.mId);
            mEndpoints.remove(endpoint.mId);
        } else {
            endpoint.mAlive = false;
        }
    }

    private void check() {
        for (int reader = 0; reader < 2; reader++) {
            mDaemons.get(reader).known().forEach(mGoneAtReader::remove);
        }
        for (final String id : goneIds()) {
            mGoneAtReader.putIfAbsent(id, now());
        }
        mGoneAtReader.keySet().removeIf(id -> mStore.listed().contains(id));
        mGoneAtReader.forEach(
                (id, since) -> {
                    final Duration lag = Duration.between(since, now());
                    if (lag.compareTo(MAX_LAG) >= 0) {
                        mDaemons.stream()
                                .filter(daemon -> daemon.lists(id) && !daemon.isInGrace())
                                .forEach(daemon -> daemon.late(id));
                    }
                });
    }

    /** Returns the endpoints that some daemon lists, and neither the store nor a reader does. */
    private Set<String> goneIds() {
        final Set<String> ids = new HashSet<>();
        for (final Daemon daemon : mDaemons) {
            ids.addAll(daemon.known());
        }
        ids.removeAll(mStore.listed());
        ids.removeAll(mDaemons.get(0).known());
        ids.removeAll(mDaemons.get(1).known());
        return ids;
    }

    /** Returns the removals that a daemon has applied too late, or not at all. */
    List<String> late() {
        return mLate;
    }

    /** Returns the daemons that list others than the store, or know other contents. */
    List<String> wrong() {
        final List<String> wrong = new ArrayList<>();
        final Set<String> listed = new HashSet<>();
        mStore.listed().forEach(id -> listed.add(mEndpoints.get(id).content()));
        for (final Daemon daemon : mDaemons) {
            final Set<String> known = new HashSet<>();
            daemon.mState
                    .endpoints()
                    .all()
                    .forEach(
                            entry ->
                                    known.add(
                                            entry.id()
                                                    + " "
                                                    + value(
                                                            entry.leaving(),
                                                            entry.startedAt()
                                                                    .orElseThrow()
                                                                    .toEpochMilli(),
                                                            entry.slots())));
            if (!known.equals(listed)) {
                final Set<String> missing = new HashSet<>(listed);
                missing.removeAll(known);
                known.removeAll(listed);
                wrong.add(daemon.mName + " lacks " + missing + ", has " + known);
            }
        }
        return wrong;
    }

    /** Returns the reads of the daemons that don't read for others. */
    int reads() {
        return mDaemons.stream().skip(2).mapToInt(daemon -> daemon.mAccess.reads()).sum();
    }

    private static String value(final boolean leaving, final long start, final int slots) {
        return (leaving ? "leaving" : "ready") + "," + start + "," + slots;
    }

    private static EndpointEntry decode(final String id, final byte[] value) {
        final String[] parts = new String(value, StandardCharsets.UTF_8).split(",");
        return EndpointEntry.builder(
                        id, "pool", new InetSocketAddress("127.0.0.1", 9000), "domain-a")
                .slots(Integer.parseInt(parts[2]))
                .leaving(parts[0].equals("leaving"), Optional.empty())
                .started(Optional.of(Instant.ofEpochMilli(Long.parseLong(parts[1]))), Duration.ZERO)
                .build();
    }

    private final class Endpoint {
        private final String mId;
        private boolean mAlive = true;
        private boolean mLeaving;
        private long mStart;
        private int mSlots = 8;
        private int mWrittenAt;
        private int mNextWrite;

        private Endpoint(final String id) {
            mId = id;
            mStart = mMillis;
        }

        private void write() {
            mWrittenAt = mMillis;
            mNextWrite = mMillis + HEARTBEAT_MILLIS - mRandom.nextInt(50);
            mStore.put(mId, value(mLeaving, mStart, mSlots));
        }

        private String content() {
            return mId + " " + value(mLeaving, mStart, mSlots);
        }
    }

    private final class Daemon {
        private final String mName;
        private final int mIndex;
        private final ServingState mState = TestServing.state(DigestReadFleet.this::now);
        private final MemberTable mMembers;
        private final DigestReadCoordinator mDigests;
        private final EndpointTopicListener mListener;
        private final FleetStore.Access mAccess = mStore.access();
        private final TopicFollower mFollower;
        private final Set<String> mReportedLate = new HashSet<>();
        private Instant mLastFailure = Instant.MIN;

        private Daemon(final int index) {
            mIndex = index;
            mName = name(index);
            mMembers = new MemberTable(member(index));
            mDigests = new DigestReadCoordinator(mState, mMembers);
            mListener =
                    new EndpointTopicListener(
                            mState,
                            new EndpointConnections(
                                    DigestReadFleet.this::now, null, null, new EndpointReach()),
                            DigestReadFleet::decode);
            mFollower =
                    new TopicFollower(
                            mChannel.eventLoop(),
                            mAccess,
                            StoreTopic.ENDPOINTS,
                            new FailureRecorder(this),
                            new TopicFollower.PollSchedule(Duration.ZERO, Duration.ofMillis(400)),
                            mDigests);
            mListener.onRead(this::publish);
            mDigests.onSkippableEndpoints(mFollower::skipTo);
            mDigests.onListing(mFollower::readNewest);
            mDigests.onNewRecords(topic -> mFollower.readNow());
            hearReaders();
        }

        private String name(final int index) {
            return String.format("d%03d", index);
        }

        private Member member(final int index) {
            final InetSocketAddress address = new InetSocketAddress("127.0.0.1", 7600 + index);
            return new Member(name(index), "i-" + name(index), "domain-a", address, address);
        }

        private void hearReaders() {
            for (int reader = 0; reader < 2; reader++) {
                if (reader != mIndex) {
                    mMembers.recordReport(member(reader), MemberStatus.READY, now());
                }
            }
        }

        private void tick() {
            hearReaders();
            if (mMillis % 200 == 0) {
                mListener.removeLapsedEntries();
            }
        }

        /** Does what the gateway does after each read. */
        private void publish() {
            mDigests.recordEndpointsRead(mListener.end());
            final List<EndpointNews> news = EndpointChangeCodec.encode(mListener.drainChanges());
            if (!mDigests.isReader()) {
                return;
            }
            // A millisecond for each receiver, as the channel pauses.
            final int pause = mDaemons.size() - 1;
            for (int index = 0; index < news.size(); index++) {
                final EndpointNews message = news.get(index);
                schedule(index * pause, () -> sendToAll(daemon -> daemon.receive(message)));
            }
            schedule(
                    Math.max(news.size() - 1, 0) * pause,
                    () -> {
                        final StoreDigest digest = mDigests.createDigest();
                        sendToAll(daemon -> daemon.mDigests.receive(mName, digest));
                    });
        }

        private void sendToAll(final Consumer<Daemon> message) {
            for (final Daemon daemon : mDaemons) {
                if (daemon != this && mRandom.nextDouble() >= LOST) {
                    final boolean late = mRandom.nextInt(LATE_MESSAGES) == 0;
                    schedule(
                            late ? LATE_MILLIS : 1 + mRandom.nextInt(MAX_WAY_MILLIS),
                            () -> message.accept(daemon));
                }
            }
        }

        private void receive(final EndpointNews news) {
            mListener.applyPeerChanges(EndpointChangeCodec.decode(news, mState.endpoints()::find));
        }

        private Set<String> known() {
            final Set<String> known = new HashSet<>();
            mState.endpoints().all().forEach(entry -> known.add(entry.id()));
            return known;
        }

        private boolean lists(final String id) {
            return mState.endpoints().find(id).isPresent();
        }

        /** Returns whether it keeps missing entries, as it could not read the store lately. */
        private boolean isInGrace() {
            return mLastFailure.isAfter(now().minus(GRACE));
        }

        private void late(final String id) {
            if (mReportedLate.add(id)) {
                mLate.add(mName + " " + id + " at " + mMillis);
            }
        }
    }

    /** Passes the records on, and keeps the time of the last failure. */
    private final class FailureRecorder implements TopicListener {
        private final Daemon mDaemon;

        private FailureRecorder(final Daemon daemon) {
            mDaemon = daemon;
        }

        @Override
        public void onSnapshot(final List<StoreRecord> records, final long end) {
            mDaemon.mListener.onSnapshot(records, end);
        }

        @Override
        public void onAppended(final List<StoreRecord> records) {
            mDaemon.mListener.onAppended(records);
        }

        @Override
        public void onUnreachable(final Throwable cause) {
            mDaemon.mLastFailure = now();
            mDaemon.mListener.onUnreachable(cause);
        }
    }
}
