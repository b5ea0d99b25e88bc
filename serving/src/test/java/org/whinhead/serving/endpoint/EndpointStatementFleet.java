package org.whinhead.serving.endpoint;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.whinhead.serving.limit.RequestedPauses;

/**
 * Daemons before endpoints that say in their responses that they leave, or turn requests away and
 * ask for a pause, in simulated time. The store says nothing of it. Requests arrive by chance,
 * messages between daemons are lost, daemons are killed, frozen, cut from each other and started.
 */
final class EndpointStatementFleet {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final long MILLI = 1_000;
    private static final long SECOND = 1_000_000;
    private static final long SERVICE_MICROS = 40_000;
    private static final long NETWORK_MICROS = 1_000;
    private static final int SLOTS = 8;
    private static final int QUEUE = 16;
    private static final int MAX_ATTEMPTS = 2;
    private static final int DEPARTURES_PER_REPORT = 4;
    private static final long[] TOLD_AFTER_MICROS = {2_000, 62_000, 152_000};
    private static final Duration PAUSE = Duration.ofSeconds(3);
    private static final long PAUSE_KNOWN_MICROS = 500 * MILLI;

    private final Random mRandom;
    private final double mLossShare;
    private final long mReportMicros;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));
    private final List<SimulatedDaemon> mDaemons = new ArrayList<>();
    private final List<SimulatedEndpoint> mEndpoints = new ArrayList<>();
    private final boolean mKeepsPauses;
    private final boolean mTells;
    private int mCutFrom = Integer.MAX_VALUE;
    private long mNow;
    private long mSequence;
    private int mServed;
    private int mRefused;
    private int mRefusedWhileRoom;
    private int mWithinPause;
    private long mLatestAfterHeard;
    private long mLatestAfterStated;

    private record Event(long at, long sequence, Runnable task) {}

    /** What a planted fault leaves out of the daemons; none of it is a way of the program. */
    enum Omission {
        NONE,
        /** Pauses are not kept. */
        PAUSES,
        /** Departures are not told to other daemons. */
        NEWS
    }

    EndpointStatementFleet(
            final int daemons,
            final int endpoints,
            final double lossShare,
            final Omission omission,
            final long seed) {
        mRandom = new Random(seed);
        mLossShare = lossShare;
        mKeepsPauses = omission != Omission.PAUSES;
        mTells = omission != Omission.NEWS;
        mReportMicros = Math.max(200 * MILLI, 22 * MILLI * daemons);
        for (int index = 0; index < endpoints; index++) {
            mEndpoints.add(new SimulatedEndpoint(index));
        }
        for (int index = 0; index < daemons; index++) {
            mDaemons.add(new SimulatedDaemon(index));
        }
        for (final SimulatedDaemon daemon : mDaemons) {
            schedule(mRandom.nextInt((int) mReportMicros), daemon::report);
        }
    }

    private Instant now() {
        return START.plusNanos(mNow * 1_000);
    }

    private void schedule(final long delayMicros, final Runnable task) {
        mEvents.add(new Event(mNow + delayMicros, mSequence++, task));
    }

    /** Plays requests, so many a second in all, for a time. */
    EndpointStatementFleet play(final double perSecond, final Duration duration) {
        final long end = mNow + duration.toNanos() / 1_000;
        long at = mNow;
        while (true) {
            at += Math.round(-Math.log(1 - mRandom.nextDouble()) / perSecond * SECOND);
            if (at >= end) {
                break;
            }
            schedule(at - mNow, this::arrive);
        }
        while (!mEvents.isEmpty() && mEvents.peek().at() < end) {
            final Event event = mEvents.poll();
            mNow = event.at();
            event.task().run();
        }
        mNow = end;
        return this;
    }

    private void arrive() {
        final SimulatedDaemon daemon = mDaemons.get(mRandom.nextInt(mDaemons.size()));
        if (daemon.isUp()) {
            daemon.send(new HashSet<>());
        }
    }

    /** Lets the first endpoints say from now on that they leave, one after the other. */
    EndpointStatementFleet leave(final int endpoints, final Duration apart) {
        for (int index = 0; index < endpoints; index++) {
            final SimulatedEndpoint endpoint = mEndpoints.get(index);
            schedule(index * apart.toNanos() / 1_000, () -> endpoint.mIsLeaving = true);
        }
        return this;
    }

    /** Lets the first endpoints turn all requests away for a time. */
    EndpointStatementFleet turnAway(final int endpoints, final Duration time) {
        for (final SimulatedEndpoint endpoint : mEndpoints.subList(0, endpoints)) {
            endpoint.mFullUntil = mNow + time.toNanos() / 1_000;
        }
        return this;
    }

    /** Stops some daemons for a time, from the last one on; then they start without memory. */
    EndpointStatementFleet restart(final int daemons, final Duration downFor) {
        for (final SimulatedDaemon daemon : last(daemons)) {
            daemon.mStoppedUntil = mNow + downFor.toNanos() / 1_000;
            daemon.begin();
        }
        return this;
    }

    /** Freezes some daemons for a time, from the last one on. */
    EndpointStatementFleet freeze(final int daemons, final Duration time) {
        last(daemons).forEach(daemon -> daemon.mStoppedUntil = mNow + time.toNanos() / 1_000);
        return this;
    }

    private List<SimulatedDaemon> last(final int daemons) {
        return mDaemons.subList(mDaemons.size() - daemons, mDaemons.size());
    }

    /** Cuts the daemons from one number on from those before it. */
    EndpointStatementFleet cutFrom(final int daemon) {
        mCutFrom = daemon;
        return this;
    }

    int served() {
        return mServed;
    }

    int refused() {
        return mRefused;
    }

    /** Returns the requests refused while an endpoint had room whose pause, if any, was over. */
    int refusedWhileRoom() {
        return mRefusedWhileRoom;
    }

    /** Returns the requests that a daemon sent within a pause, its first half second left out. */
    int withinPause() {
        return mWithinPause;
    }

    /**
     * Returns how long after a daemon had heard that an endpoint leaves it sent a request there.
     */
    Duration latestAfterHeard() {
        return Duration.ofNanos(mLatestAfterHeard * 1_000);
    }

    /** Returns the same after the endpoint had first said so to any daemon. */
    Duration latestAfterStated() {
        return Duration.ofNanos(mLatestAfterStated * 1_000);
    }

    /** Returns the requests that the first endpoints served in the last time. */
    int servedBy(final int endpoints, final Duration lately) {
        final long from = mNow - lately.toNanos() / 1_000;
        return (int)
                mEndpoints.subList(0, endpoints).stream()
                        .flatMap(endpoint -> endpoint.mServedAt.stream())
                        .filter(at -> at >= from)
                        .count();
    }

    /** Returns the most requests that one endpoint got within 100 ms from a time of the past on. */
    int mostWithinTenth(final int endpoints, final Duration ago) {
        final long from = mNow - ago.toNanos() / 1_000;
        int most = 0;
        for (final SimulatedEndpoint endpoint : mEndpoints.subList(0, endpoints)) {
            for (final long first : endpoint.mArrivals) {
                final long end = first + 100 * MILLI;
                if (first >= from) {
                    most =
                            Math.max(
                                    most,
                                    (int)
                                            endpoint.mArrivals.stream()
                                                    .filter(at -> at >= first && at < end)
                                                    .count());
                }
            }
        }
        return most;
    }

    private final class SimulatedDaemon {
        private final int mIndex;
        private EndpointRegistry mRegistry;
        private StatedDepartures mDepartures;
        private RequestedPauses mPauses;
        private final Set<EndpointStart> mToldByOthers = new HashSet<>();
        private final Map<String, Long> mHeardAt = new HashMap<>();
        private final Map<String, List<Long>> mTurnedAwayAt = new HashMap<>();
        private final Map<String, Integer> mRunning = new HashMap<>();
        private long mStoppedUntil;

        private SimulatedDaemon(final int index) {
            mIndex = index;
            begin();
        }

        /** Begins without any memory of statements. */
        private void begin() {
            mRegistry = new EndpointRegistry();
            mDepartures = new StatedDepartures();
            mPauses = new RequestedPauses(new Random(mRandom.nextLong()));
            mHeardAt.clear();
            mTurnedAwayAt.clear();
            mRunning.clear();
            mEndpoints.forEach(endpoint -> mRegistry.put(endpoint.mEntry, 1));
        }

        private boolean isUp() {
            return mNow >= mStoppedUntil;
        }

        private void report() {
            if (isUp()) {
                final List<EndpointStart> told =
                        mDepartures.nextReported(DEPARTURES_PER_REPORT, now());
                mDaemons.forEach(other -> tell(other, told));
            }
            schedule(mReportMicros, this::report);
        }

        private void tell(final SimulatedDaemon other, final List<EndpointStart> departures) {
            final boolean isCut = mIndex < mCutFrom != other.mIndex < mCutFrom;
            if (other != this && !isCut && isUp() && mRandom.nextDouble() >= mLossShare) {
                schedule(
                        NETWORK_MICROS + mRandom.nextInt(2_000),
                        () -> other.whenUp(() -> departures.forEach(other::hear)));
            }
        }

        private void whenUp(final Runnable task) {
            if (isUp()) {
                task.run();
            } else {
                schedule(mStoppedUntil - mNow, task);
            }
        }

        private void hear(final EndpointStart departure) {
            mToldByOthers.add(departure);
            learn(departure);
        }

        private void learn(final EndpointStart departure) {
            mDepartures.add(departure, now());
            mRegistry.markLeaving(departure);
            mHeardAt.putIfAbsent(departure.endpoint(), mNow);
        }

        private void departs(final EndpointStart departure) {
            if (mDepartures.contains(departure)) {
                return;
            }
            learn(departure);
            if (!mTells) {
                return;
            }
            for (final long after : TOLD_AFTER_MICROS) {
                schedule(
                        after,
                        () -> {
                            final boolean isFirst = after == TOLD_AFTER_MICROS[0];
                            if (isFirst || !mToldByOthers.contains(departure)) {
                                mDaemons.forEach(other -> tell(other, List.of(departure)));
                            }
                        });
            }
        }

        /** Sends a request to the less busy of two endpoints, or refuses it. */
        private void send(final Set<String> tried) {
            final List<SimulatedEndpoint> candidates =
                    mEndpoints.stream()
                            .filter(endpoint -> mRegistry.isUsable(endpoint.id()))
                            .filter(
                                    endpoint ->
                                            !mKeepsPauses
                                                    || mPauses.mayReceive(endpoint.id(), now()))
                            .filter(endpoint -> !tried.contains(endpoint.id()))
                            .toList();
            if (candidates.isEmpty() || tried.size() >= MAX_ATTEMPTS) {
                mRefused++;
                mRefusedWhileRoom += candidates.isEmpty() && isRoom(tried) ? 1 : 0;
                return;
            }
            final SimulatedEndpoint one = candidates.get(mRandom.nextInt(candidates.size()));
            final SimulatedEndpoint other = candidates.get(mRandom.nextInt(candidates.size()));
            final SimulatedEndpoint endpoint = running(other) < running(one) ? other : one;
            recordSent(endpoint);
            tried.add(endpoint.id());
            mRunning.merge(endpoint.id(), 1, Integer::sum);
            final Instant sentAt = now();
            schedule(
                    NETWORK_MICROS,
                    () ->
                            endpoint.arrive(
                                    (isServed, isLeaving) ->
                                            whenUp(
                                                    () ->
                                                            answered(
                                                                    endpoint, isServed, isLeaving,
                                                                    sentAt, tried))));
        }

        private boolean isRoom(final Set<String> tried) {
            return mEndpoints.stream()
                    .filter(endpoint -> mPauses.left(endpoint.id(), now()).isEmpty())
                    .anyMatch(endpoint -> endpoint.hasRoom() && !tried.contains(endpoint.id()));
        }

        private int running(final SimulatedEndpoint endpoint) {
            return mRunning.getOrDefault(endpoint.id(), 0);
        }

        private void recordSent(final SimulatedEndpoint endpoint) {
            final String id = endpoint.id();
            mPauses.recordSent(id, now());
            if (endpoint.mIsLeaving) {
                mLatestAfterStated =
                        Math.max(mLatestAfterStated, mNow - endpoint.mStatedAt.orElse(mNow));
                mLatestAfterHeard =
                        Math.max(mLatestAfterHeard, mNow - mHeardAt.getOrDefault(id, mNow));
            }
            mWithinPause += isWithinPause(id) ? 1 : 0;
        }

        /** Returns whether any pause is in force that is known for longer than its first moment. */
        private boolean isWithinPause(final String id) {
            return mTurnedAwayAt.getOrDefault(id, List.of()).stream()
                    .mapToLong(at -> mNow - at)
                    .anyMatch(age -> age >= PAUSE_KNOWN_MICROS && age < PAUSE.toNanos() / 1_000);
        }

        private void answered(
                final SimulatedEndpoint endpoint,
                final boolean isServed,
                final boolean isLeaving,
                final Instant sentAt,
                final Set<String> tried) {
            mRunning.merge(endpoint.id(), -1, (running, change) -> Math.max(running + change, 0));
            if (isLeaving) {
                endpoint.mStatedAt = Optional.of(endpoint.mStatedAt.orElse(mNow));
                departs(EndpointStart.of(endpoint.mEntry));
            }
            if (isServed) {
                mServed++;
                mPauses.recordAnswered(endpoint.mEntry, sentAt);
            } else {
                mTurnedAwayAt.computeIfAbsent(endpoint.id(), id -> new ArrayList<>()).add(mNow);
                mPauses.add(endpoint.id(), PAUSE, now());
                send(tried);
            }
        }
    }

    /** Receives the answer of an endpoint. */
    private interface Answer {
        void received(boolean isServed, boolean isLeaving);
    }

    private final class SimulatedEndpoint {
        private final EndpointEntry mEntry;
        private final List<Long> mServedAt = new ArrayList<>();
        private final List<Long> mArrivals = new ArrayList<>();
        private Optional<Long> mStatedAt = Optional.empty();
        private boolean mIsLeaving;
        private long mFullUntil;
        private long mFreeAt;
        private int mBusy;

        private SimulatedEndpoint(final int index) {
            mEntry =
                    EndpointEntry.builder(
                                    "e-" + index,
                                    "api",
                                    InetSocketAddress.createUnresolved("endpoint", 1),
                                    "domain-a")
                            .slots(SLOTS)
                            .build();
        }

        private String id() {
            return mEntry.id();
        }

        private boolean hasRoom() {
            return !mIsLeaving && mNow >= mFullUntil && mBusy < SLOTS + QUEUE;
        }

        private void arrive(final Answer answer) {
            mArrivals.add(mNow);
            final boolean isLeaving = mIsLeaving;
            if (mNow < mFullUntil || mBusy >= SLOTS + QUEUE) {
                schedule(NETWORK_MICROS, () -> answer.received(false, isLeaving));
                return;
            }
            mBusy++;
            mFreeAt = Math.max(mFreeAt, mNow - SERVICE_MICROS) + SERVICE_MICROS / SLOTS;
            schedule(
                    Math.max(mFreeAt - mNow, SERVICE_MICROS),
                    () -> {
                        mBusy--;
                        mServedAt.add(mNow);
                        schedule(NETWORK_MICROS, () -> answer.received(true, isLeaving));
                    });
        }
    }
}
