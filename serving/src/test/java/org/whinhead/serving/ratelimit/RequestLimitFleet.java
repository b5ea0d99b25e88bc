package org.whinhead.serving.ratelimit;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.member.Member;
import org.whinhead.serving.member.MemberStatus;
import org.whinhead.serving.member.MemberTable;

/**
 * Daemons before endpoints that name limits of requests per second, in simulated time: requests of
 * chance arrive at random daemons, messages are lost and late, daemons are killed, frozen and cut
 * from each other.
 */
final class RequestLimitFleet {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final long SECOND_MICROS = 1_000_000;
    private static final long SERVICE_MICROS = 20_000;
    private static final long TICK_MICROS = 200_000;
    private static final long MAX_PERMIT_WAIT_MICROS = 200_000;
    private static final int MAX_DENIALS = 3;
    private static final int STATEMENTS_PER_REPORT = 8;
    private static final long[] TOLD_AFTER_MICROS = {2_000, 62_000, 152_000};

    /** The time in which a daemon that stood still reads what has arrived meanwhile. */
    private static final long READ_MICROS = 1_000;

    private final Random mRandom;
    private final double mLossShare;
    private final long mReportMicros;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::at).thenComparingLong(Event::sequence));
    private final List<SimulatedDaemon> mDaemons = new ArrayList<>();
    private final Map<InetSocketAddress, SimulatedDaemon> mByAddress = new HashMap<>();
    private final List<SimulatedEndpoint> mEndpoints = new ArrayList<>();
    private final Map<String, EndpointEntry> mEntries = new LinkedHashMap<>();
    private int mCallerDaemons;
    private int mCutFrom;
    private long mNow;
    private long mSequence;
    private long mMessages;
    private int mServed;
    private int mRefused;
    private int mRefusedWhileFree;
    private long mLongestWait;

    /**
     * Creates a fleet whose endpoints name no limit.
     *
     * @param daemons the number of daemons
     * @param endpoints the number of endpoints
     * @param lossShare the share of messages between daemons that are lost
     * @param seed the seed of chance
     */
    RequestLimitFleet(
            final int daemons, final int endpoints, final double lossShare, final long seed) {
        mRandom = new Random(seed);
        mLossShare = lossShare;
        mCallerDaemons = daemons;
        mCutFrom = daemons;
        mReportMicros = Math.max(TICK_MICROS, 22_000L * daemons);
        for (int index = 0; index < endpoints; index++) {
            mEndpoints.add(new SimulatedEndpoint("e-" + index));
        }
        for (int index = 0; index < daemons; index++) {
            mDaemons.add(new SimulatedDaemon(index));
        }
        mDaemons.forEach(SimulatedDaemon::start);
    }

    private record Event(long at, long sequence, Runnable task) {}

    private void schedule(final long delayMicros, final Runnable task) {
        mEvents.add(new Event(mNow + delayMicros, mSequence++, task));
    }

    private Instant now() {
        return START.plusNanos(mNow * 1_000);
    }

    /** Lets requests arrive only at the first daemons. */
    RequestLimitFleet callersAt(final int daemons) {
        mCallerDaemons = daemons;
        return this;
    }

    /** Lets endpoints name a limit from now on; none if it is negative. */
    RequestLimitFleet name(final double limit, final int endpoints) {
        for (final SimulatedEndpoint endpoint : mEndpoints.subList(0, endpoints)) {
            endpoint.mLimit =
                    limit < 0 ? Optional.empty() : Optional.of(new RequestRateLimit(limit));
            endpoint.mNamedAt = mNow;
            endpoint.mArrivals.clear();
        }
        return this;
    }

    /** Cuts the daemons from one number on from those before it. */
    RequestLimitFleet cutFrom(final int daemon) {
        mCutFrom = daemon;
        return this;
    }

    /** Stops the daemon that owns the limit of an endpoint; a killed one is never up again. */
    RequestLimitFleet stopOwner(final int endpoint, final Duration frozenFor) {
        final SimulatedDaemon any =
                mDaemons.stream().filter(SimulatedDaemon::isUp).findFirst().orElseThrow();
        final InetSocketAddress owner = any.ownerOf(mEndpoints.get(endpoint).mId);
        mByAddress.get(owner).mStoppedUntil =
                frozenFor.isZero() ? Long.MAX_VALUE : mNow + frozenFor.toNanos() / 1_000;
        return this;
    }

    /** Plays requests, so many a second in all, for a time. */
    RequestLimitFleet play(final double perSecond, final Duration duration) {
        final long end = mNow + duration.toNanos() / 1_000;
        long at = mNow;
        while (perSecond > 0) {
            at += Math.round(-Math.log(1 - mRandom.nextDouble()) / perSecond * SECOND_MICROS);
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
        final List<SimulatedDaemon> up =
                mDaemons.subList(0, mCallerDaemons).stream().filter(SimulatedDaemon::isUp).toList();
        if (!up.isEmpty()) {
            new SimulatedRequest(up.get(mRandom.nextInt(up.size()))).search();
        }
    }

    int served() {
        return mServed;
    }

    int refused() {
        return mRefused;
    }

    int refusedWhileFree() {
        return mRefusedWhileFree;
    }

    long longestWaitMillis() {
        return mLongestWait / 1_000;
    }

    double messagesPerSecondAndDaemon() {
        return (double) mMessages * SECOND_MICROS / mNow / mDaemons.size();
    }

    /**
     * Returns the most requests that an endpoint got in a window that began at this age or later.
     */
    int mostIn(final Duration window, final Duration minAge) {
        return mEndpoints.stream()
                .mapToInt(endpoint -> endpoint.mostIn(window, minAge))
                .max()
                .orElse(0);
    }

    /** Returns the requests that the endpoints got from this age of their limits on. */
    int arrivals(final Duration minAge) {
        return mEndpoints.stream().mapToInt(endpoint -> endpoint.arrivals(minAge)).sum();
    }

    /** Returns the longest time without a request at an endpoint from this age of its limit on. */
    Duration longestGap(final Duration minAge) {
        return Duration.ofNanos(
                mEndpoints.stream()
                                .mapToLong(endpoint -> endpoint.longestGap(minAge))
                                .max()
                                .orElse(0)
                        * 1_000);
    }

    /** Returns the daemons that know of a limit of an endpoint. */
    long knowing(final int endpoint) {
        return mDaemons.stream()
                .filter(daemon -> daemon.mLimits.limit(mEndpoints.get(endpoint).mId).isPresent())
                .count();
    }

    private final class SimulatedDaemon implements PermitTransport {
        private final int mIndex;
        private final InetSocketAddress mAddress;
        private final StatedLimits mLimits = new StatedLimits();
        private final RequestPermits mPermits;
        private final MemberTable mMembers;
        private final Map<LimitStatement, Integer> mToldByOthers = new HashMap<>();
        private final LimitOwners mOwnerView;
        private long mStoppedUntil;

        private SimulatedDaemon(final int index) {
            mIndex = index;
            mAddress = InetSocketAddress.createUnresolved("10.0.0." + index, 7_600);
            mMembers = new MemberTable(member());
            mOwnerView = new LimitOwners(mAddress);
            final Function<String, Optional<EndpointEntry>> find =
                    id -> Optional.ofNullable(mEntries.get(id));
            mPermits = new RequestPermits(mAddress, 0, mLimits, find, this);
            mByAddress.put(mAddress, this);
        }

        private Member member() {
            return new Member("daemon-" + mIndex, "first", "domain-a", mAddress, mAddress);
        }

        private InetSocketAddress ownerOf(final String endpoint) {
            return mOwnerView.owner(endpoint, now());
        }

        private boolean isUp() {
            return mNow >= mStoppedUntil;
        }

        private boolean isFrozen() {
            return !isUp() && mStoppedUntil != Long.MAX_VALUE;
        }

        private void start() {
            mDaemons.forEach(this::hear);
            schedule(mRandom.nextInt((int) TICK_MICROS), this::tick);
            schedule(mRandom.nextInt((int) mReportMicros), this::report);
        }

        private void hear(final SimulatedDaemon other) {
            mMembers.recordReport(other.member(), MemberStatus.READY, now());
        }

        private void tick() {
            if (isUp()) {
                mMembers.expire(now());
                final Set<InetSocketAddress> heard =
                        mMembers.heardPeers(false, now()).stream()
                                .map(Member::peerAddress)
                                .collect(Collectors.toCollection(HashSet::new));
                mPermits.setDaemons(heard, false, mMembers.knownCount(), now());
                heard.add(mAddress);
                mOwnerView.setDaemons(heard, mMembers.knownCount());
            }
            schedule(isFrozen() ? mStoppedUntil - mNow : TICK_MICROS, this::tick);
        }

        private void report() {
            if (isUp()) {
                final List<LimitStatement> statements =
                        mLimits.nextReported(STATEMENTS_PER_REPORT, now());
                for (final SimulatedDaemon other : mDaemons) {
                    send(
                            other,
                            () -> {
                                other.hear(this);
                                statements.forEach(other::learn);
                            });
                }
            }
            schedule(mReportMicros, this::report);
        }

        /**
         * Sends a message, which arrives unless it is lost or the receiver is not reached. One that
         * stands still reads it afterwards.
         */
        private void send(final SimulatedDaemon other, final Runnable message) {
            if (other == this || !isUp()) {
                return;
            }
            final boolean isCut = mIndex < mCutFrom != other.mIndex < mCutFrom;
            if (isCut || mRandom.nextDouble() < mLossShare) {
                return;
            }
            schedule(1_000 + mRandom.nextInt(2_000), () -> other.receive(message));
        }

        private void receive(final Runnable message) {
            if (isFrozen()) {
                schedule(mStoppedUntil + READ_MICROS - mNow, () -> receive(message));
            } else if (isUp()) {
                message.run();
            }
        }

        private void learn(final LimitStatement statement) {
            mToldByOthers.merge(statement, 1, Integer::sum);
            mLimits.apply(mEntries.get(statement.endpoint()), statement, now());
        }

        private void tell(final LimitStatement statement) {
            for (final long after : TOLD_AFTER_MICROS) {
                schedule(
                        after,
                        () -> {
                            final boolean isFirst = after == TOLD_AFTER_MICROS[0];
                            if (isFirst || !mToldByOthers.containsKey(statement)) {
                                mDaemons.forEach(
                                        other -> send(other, () -> other.learn(statement)));
                            }
                        });
            }
        }

        @Override
        public void sendRequest(final InetSocketAddress owner, final PermitRequest request) {
            mMessages++;
            final SimulatedDaemon other = mByAddress.get(owner);
            send(other, () -> other.mPermits.handleRequest(request, mAddress, now()));
        }

        @Override
        public void sendResponse(final InetSocketAddress receiver, final PermitResponse response) {
            mMessages++;
            final SimulatedDaemon other = mByAddress.get(receiver);
            send(other, () -> other.mPermits.handleResponse(response, mAddress, now()));
        }

        @Override
        public void sendReturn(final InetSocketAddress owner, final PermitRequest request) {
            mMessages++;
            final SimulatedDaemon other = mByAddress.get(owner);
            send(other, () -> other.mPermits.handleReturn(request));
        }

        @Override
        public void scheduleTimeoutCheck(final Duration delay) {
            schedule(delay.toNanos() / 1_000, () -> mPermits.checkTimeouts(now()));
        }
    }

    private final class SimulatedRequest {
        private final SimulatedDaemon mDaemon;
        private final long mArrivedAt = mNow;
        private int mDenials;

        private SimulatedRequest(final SimulatedDaemon daemon) {
            mDaemon = daemon;
        }

        private void search() {
            final List<SimulatedEndpoint> withoutLimit =
                    mEndpoints.stream()
                            .filter(endpoint -> mDaemon.mLimits.limit(endpoint.mId).isEmpty())
                            .toList();
            final Duration maxWait =
                    Duration.ofNanos(withoutLimit.isEmpty() ? MAX_PERMIT_WAIT_MICROS * 1_000 : 0);
            List<SimulatedEndpoint> usable = withoutLimit;
            if (mDenials < MAX_DENIALS) {
                usable = mayBeGranted(Duration.ZERO);
                usable = usable.isEmpty() ? mayBeGranted(maxWait) : usable;
            }
            if (usable.isEmpty()) {
                refuse();
                return;
            }
            final SimulatedEndpoint endpoint = usable.get(mRandom.nextInt(usable.size()));
            mDaemon.mPermits.claim(endpoint.mId, maxWait, new Outcome(endpoint), now());
        }

        private List<SimulatedEndpoint> mayBeGranted(final Duration maxWait) {
            return mEndpoints.stream()
                    .filter(endpoint -> mDaemon.mPermits.mayBeGranted(endpoint.mId, maxWait, now()))
                    .toList();
        }

        private void refuse() {
            mRefused++;
            final boolean isFree = mEndpoints.stream().anyMatch(SimulatedEndpoint::isFree);
            mRefusedWhileFree += isFree ? 1 : 0;
            mLongestWait = Math.max(mLongestWait, mNow - mArrivedAt);
        }

        private final class Outcome implements PermitListener {
            private final SimulatedEndpoint mEndpoint;

            private Outcome(final SimulatedEndpoint endpoint) {
                mEndpoint = endpoint;
            }

            @Override
            public void granted(final Duration wait, final Permit permit) {
                schedule(wait.toNanos() / 1_000, this::dispatch);
            }

            private void dispatch() {
                if (!mDaemon.isUp()) {
                    return;
                }
                mLongestWait = Math.max(mLongestWait, mNow - mArrivedAt);
                final long sentAt = mNow;
                schedule(1_000 + mRandom.nextInt(500), () -> mEndpoint.arrive(this, sentAt));
            }

            private void answered(final Optional<RequestRateLimit> limit, final long sentAt) {
                mServed++;
                if (mDaemon.isUp()) {
                    mDaemon.mLimits
                            .recordAnswer(
                                    mEntries.get(mEndpoint.mId),
                                    limit,
                                    START.plusNanos(sentAt * 1_000),
                                    now())
                            .ifPresent(mDaemon::tell);
                }
            }

            @Override
            public void denied() {
                mDenials++;
                search();
            }
        }
    }

    private final class SimulatedEndpoint {
        private final String mId;
        private final List<Long> mArrivals = new ArrayList<>();
        private Optional<RequestRateLimit> mLimit = Optional.empty();
        private long mNamedAt;

        private SimulatedEndpoint(final String id) {
            mId = id;
            mEntries.put(
                    id,
                    EndpointEntry.builder(
                                    id,
                                    "api",
                                    InetSocketAddress.createUnresolved("endpoint", 1),
                                    "domain-a")
                            .build());
        }

        private void arrive(final SimulatedRequest.Outcome request, final long sentAt) {
            mArrivals.add(mNow);
            final Optional<RequestRateLimit> limit = mLimit;
            schedule(SERVICE_MICROS, () -> request.answered(limit, sentAt));
        }

        /** Returns whether it has had no request for two intervals of its limit. */
        private boolean isFree() {
            final long last = mArrivals.isEmpty() ? mNamedAt : mArrivals.get(mArrivals.size() - 1);
            return mLimit.isEmpty() || mNow - last > 2 * mLimit.get().interval(1).toNanos() / 1_000;
        }

        private int arrivals(final Duration minAge) {
            final long from = mNamedAt + minAge.toNanos() / 1_000;
            return (int) mArrivals.stream().filter(at -> at >= from).count();
        }

        private long longestGap(final Duration minAge) {
            long before = mNamedAt + minAge.toNanos() / 1_000;
            long longest = 0;
            for (final long at : mArrivals) {
                if (at > before) {
                    longest = Math.max(longest, at - before);
                    before = at;
                }
            }
            return Math.max(longest, mNow - before);
        }

        private int mostIn(final Duration window, final Duration minAge) {
            final long from = mNamedAt + minAge.toNanos() / 1_000;
            final long micros = window.toNanos() / 1_000;
            final List<Long> counted = mArrivals.stream().filter(at -> at >= from).toList();
            int most = 0;
            int first = 0;
            for (int last = 0; last < counted.size(); last++) {
                while (counted.get(last) - counted.get(first) >= micros) {
                    first++;
                }
                most = Math.max(most, last - first + 1);
            }
            return most;
        }
    }
}
