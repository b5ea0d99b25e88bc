package org.whinhead.serving.limit;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.whinhead.serving.balance.EndpointChooser;
import org.whinhead.serving.balance.Placement;
import org.whinhead.serving.balance.Work;
import org.whinhead.serving.endpoint.EndpointEntry;

/**
 * Daemons before brittle endpoints in simulated time: requests of chance arrive at random daemons,
 * reports of load are as old as in a deployment of that size, and an endpoint that rejects more
 * requests in a second than it survives is gone for a while.
 */
final class BrittleFleet {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final long NETWORK_MICROS = 1_000;
    private static final long DOWN_MICROS = 3_000_000;
    private static final long SECOND_MICROS = 1_000_000;
    private static final int MAX_ATTEMPTS = 2;
    private static final long WAIT_MICROS = 10_000;
    private static final int MAX_WAITS = 10;

    /** The share of messages between daemons that are lost. */
    private static final double LOSS_SHARE = 0.2;

    private final Random mRandom;
    private final boolean mLimited;
    private final int mSurvivedRejections;
    private final double mServiceMicros;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));
    private final List<SimulatedDaemon> mDaemons = new ArrayList<>();
    private final List<SimulatedEndpoint> mEndpoints = new ArrayList<>();
    private final List<EndpointEntry> mEntries = new ArrayList<>();
    private long mNow;
    private long mSequence;
    private int mFalls;
    private int mServed;
    private int mRefused;
    private int mRefusedWithRoom;

    /**
     * Creates a fleet.
     *
     * @param daemons the number of daemons
     * @param endpoints the number of endpoints
     * @param slots the slots of each, which queues as many requests again
     * @param survivedRejections the rejections in a second that an endpoint survives
     * @param limited whether the daemons limit the requests at brittle endpoints
     * @param seed the seed of chance
     */
    BrittleFleet(
            final int daemons,
            final int endpoints,
            final int slots,
            final int survivedRejections,
            final boolean limited,
            final long seed) {
        mRandom = new Random(seed);
        mLimited = limited;
        mSurvivedRejections = survivedRejections;
        mServiceMicros = 20_000;
        for (int index = 0; index < endpoints; index++) {
            mEndpoints.add(new SimulatedEndpoint(slots));
            mEntries.add(
                    EndpointEntry.builder(
                                    "e-" + index,
                                    "api",
                                    InetSocketAddress.createUnresolved("endpoint", 1),
                                    "domain-a")
                            .slots(slots)
                            .build());
        }
        final long reportMicros = Math.max(200_000, 22_000L * daemons);
        for (int index = 0; index < daemons; index++) {
            mDaemons.add(new SimulatedDaemon("d-" + index, daemons, index));
            final SimulatedDaemon daemon = mDaemons.get(index);
            schedule(mRandom.nextInt((int) reportMicros), () -> report(daemon, reportMicros));
        }
    }

    private record Event(long at, long sequence, Runnable task) {}

    private void schedule(final long delayMicros, final Runnable task) {
        mEvents.add(new Event(mNow + delayMicros, mSequence++, task));
    }

    private Instant now() {
        return START.plus(Duration.ofNanos(mNow * 1_000));
    }

    /** Plays requests at a share of the endpoints' capacity for a time. */
    BrittleFleet play(final double load, final Duration duration) {
        final double perSecond =
                load * mEndpoints.size() * mEntries.get(0).slots() * SECOND_MICROS / mServiceMicros;
        final long end = mNow + duration.toNanos() / 1_000;
        long at = mNow;
        while (true) {
            at += Math.round(-Math.log(1 - mRandom.nextDouble()) / perSecond * SECOND_MICROS);
            if (at >= end) {
                break;
            }
            final SimulatedDaemon daemon = mDaemons.get(mRandom.nextInt(mDaemons.size()));
            schedule(at - mNow, () -> new SimulatedRequest(daemon).dispatch());
        }
        while (!mEvents.isEmpty() && mEvents.peek().at() < end) {
            final Event event = mEvents.poll();
            mNow = event.at();
            event.task().run();
        }
        mNow = end;
        return this;
    }

    int falls() {
        return mFalls;
    }

    int served() {
        return mServed;
    }

    double refusedWithRoomShare() {
        return (double) mRefusedWithRoom / Math.max(mServed + mRefused, 1);
    }

    private void report(final SimulatedDaemon daemon, final long interval) {
        for (final SimulatedDaemon other : mDaemons) {
            if (other != daemon && !isLost()) {
                for (final EndpointEntry entry : mEntries) {
                    other.mChooser.updatePeerLoad(
                            daemon.mName,
                            entry.id(),
                            daemon.mChooser.load(entry.id()).ownRunning(),
                            0);
                }
            }
        }
        schedule(interval, () -> report(daemon, interval));
    }

    private boolean isLost() {
        return mRandom.nextDouble() < LOSS_SHARE;
    }

    private boolean hasFreeSlot() {
        return mEndpoints.stream().anyMatch(SimulatedEndpoint::hasFreeSlot);
    }

    private final class SimulatedDaemon {
        private final String mName;
        private final EndpointChooser mChooser;
        private final BrittleEndpoints mBrittle = new BrittleEndpoints();

        private SimulatedDaemon(final String name, final int daemons, final int rank) {
            mName = name;
            mChooser = new EndpointChooser("domain-a", new Random(mRandom.nextLong()));
            mBrittle.setDaemons(daemons, rank);
        }

        private List<EndpointEntry> candidates() {
            if (!mLimited) {
                return mEntries;
            }
            return mBrittle.withRoom(
                    "api", mEntries, entry -> mChooser.load(entry.id()).ownRunning(), now());
        }
    }

    private final class SimulatedRequest {
        private final SimulatedDaemon mDaemon;
        private final Set<String> mTried = new HashSet<>();
        private Placement mPlacement;
        private int mWaits;

        private SimulatedRequest(final SimulatedDaemon daemon) {
            mDaemon = daemon;
        }

        private void dispatch() {
            if (mTried.size() >= MAX_ATTEMPTS) {
                refused();
                return;
            }
            final List<EndpointEntry> candidates = mDaemon.candidates();
            final Optional<Placement> placement =
                    mDaemon.mChooser.place(candidates, Work.PLAIN, mTried, false, now());
            if (placement.isEmpty()) {
                if (candidates.isEmpty() && mWaits++ < MAX_WAITS) {
                    schedule(WAIT_MICROS, this::dispatch);
                } else {
                    refused();
                }
                return;
            }
            mPlacement = placement.get();
            mTried.add(mPlacement.endpoint().id());
            final SimulatedEndpoint endpoint =
                    mEndpoints.get(mEntries.indexOf(mPlacement.endpoint()));
            schedule(NETWORK_MICROS, () -> endpoint.arrive(this));
        }

        private void refused() {
            mRefused++;
            mRefusedWithRoom += hasFreeSlot() ? 1 : 0;
        }

        private void answered(final boolean served) {
            mPlacement.release();
            final EndpointEntry endpoint = mPlacement.endpoint();
            mDaemon.mBrittle.recordAnswer(endpoint, OptionalInt.of(mSurvivedRejections), now());
            mPlacement.load().recordOutcome(!served);
            if (served) {
                mServed++;
                mDaemon.mBrittle.recordServed(endpoint);
                return;
            }
            if (mDaemon.mBrittle.recordRejection(endpoint, now())) {
                mDaemons.stream()
                        .filter(other -> !isLost())
                        .forEach(
                                other ->
                                        schedule(
                                                NETWORK_MICROS,
                                                () ->
                                                        other.mBrittle.recordPeerRejection(
                                                                endpoint, now())));
            }
            dispatch();
        }

        private void notConnected() {
            mPlacement.load().recordUnreachable(now());
            mPlacement.release();
            dispatch();
        }
    }

    private final class SimulatedEndpoint {
        private final int mSlots;
        private final Deque<SimulatedRequest> mWaiting = new ArrayDeque<>();
        private final Deque<Long> mRejections = new ArrayDeque<>();
        private int mRunning;
        private long mDownUntil;
        private int mLife;

        private SimulatedEndpoint(final int slots) {
            mSlots = slots;
        }

        private boolean hasFreeSlot() {
            return mNow >= mDownUntil && mRunning < mSlots;
        }

        private void arrive(final SimulatedRequest request) {
            if (mNow < mDownUntil) {
                schedule(NETWORK_MICROS, request::notConnected);
            } else if (mRunning < mSlots) {
                run(request);
            } else if (mWaiting.size() < mSlots) {
                mWaiting.add(request);
            } else {
                schedule(NETWORK_MICROS, () -> request.answered(false));
                recordRejection();
            }
        }

        private void run(final SimulatedRequest request) {
            mRunning++;
            final int life = mLife;
            final long micros = Math.round(mServiceMicros * (0.5 + mRandom.nextDouble()));
            schedule(micros, () -> finish(request, life));
        }

        private void finish(final SimulatedRequest request, final int life) {
            if (life != mLife) {
                return;
            }
            mRunning--;
            schedule(NETWORK_MICROS, () -> request.answered(true));
            if (!mWaiting.isEmpty()) {
                run(mWaiting.poll());
            }
        }

        private void recordRejection() {
            mRejections.add(mNow);
            while (mRejections.peek() < mNow - SECOND_MICROS) {
                mRejections.poll();
            }
            if (mRejections.size() > mSurvivedRejections) {
                mFalls++;
                mDownUntil = mNow + DOWN_MICROS;
                mLife++;
                mRunning = 0;
                mWaiting.forEach(waiting -> schedule(NETWORK_MICROS, waiting::notConnected));
                mWaiting.clear();
                mRejections.clear();
            }
        }
    }
}
