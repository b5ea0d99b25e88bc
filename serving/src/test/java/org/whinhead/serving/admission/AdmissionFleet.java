package org.whinhead.serving.admission;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Simulates daemons with admission before the endpoints of one service, in steps of 5 ms.
 *
 * <p>Endpoints serve their slots and a queue, and reject what is beyond. A daemon chooses the
 * shortest queue of a few endpoints by its own requests and by reports, which are late and may be
 * lost; a rejected request is sent twice more. Callers whose request is refused repeat it once, at
 * the time that they are told.
 */
final class AdmissionFleet {

    private static final int STEP_MILLIS = 5;
    private static final int MAX_SENDS = 3;
    private static final int MAX_ASKED = 2;
    private static final int SAMPLE = 4;
    private static final String SERVICE = "pool";
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private final Random mRandom;
    private final List<Daemon> mDaemons = new ArrayList<>();
    private final List<Endpoint> mEndpoints = new ArrayList<>();
    private final boolean mEngine;
    private final double mLoss;
    private final long mReportMillis;
    private final PriorityQueue<Arrival> mReturns =
            new PriorityQueue<>(Comparator.comparingLong(Arrival::atMillis));
    private final Map<String, Outcome> mOutcomes = new HashMap<>();
    private boolean mAdmits = true;
    private boolean mReportsCut;
    private double mSlowness = 1;
    private long mNowMillis;
    private long mLastId;
    private long mIdleWhileWaiting;
    private long mSlotSteps;
    private int mRejections;
    private int mUrgentRefusedBesideOthers;

    /** A kind of request: its rank, customer, size, useful time and rate over all daemons. */
    record Kind(
            String name,
            int rank,
            String customer,
            double granted,
            double millis,
            long usefulMillis,
            double perSecond) {}

    /** The requests of a kind: how many were made, answered in time, refused for good, and held. */
    static final class Outcome {
        private int mMade;
        private int mAnswered;
        private int mRefused;
        private int mHeld;
        private long mLongestHold;

        double answeredShare() {
            return (double) mAnswered / Math.max(mMade, 1);
        }

        int made() {
            return mMade;
        }

        int answered() {
            return mAnswered;
        }

        int refused() {
            return mRefused;
        }

        int held() {
            return mHeld;
        }

        long longestHold() {
            return mLongestHold;
        }

        @Override
        public String toString() {
            return "made %d answered %d refused %d held %d longest %d"
                    .formatted(mMade, mAnswered, mRefused, mHeld, mLongestHold);
        }
    }

    private record Arrival(long atMillis, Daemon daemon, Request request) {}

    AdmissionFleet(
            final int daemons,
            final int endpoints,
            final int slots,
            final boolean engine,
            final double loss,
            final long seed) {
        mRandom = new Random(seed);
        mEngine = engine;
        mLoss = loss;
        mReportMillis = Math.max(200, 22L * daemons);
        for (int index = 0; index < endpoints; index++) {
            mEndpoints.add(new Endpoint(slots, engine ? 2 * slots : 4 * slots));
        }
        for (int index = 0; index < daemons; index++) {
            mDaemons.add(new Daemon("d" + index, endpoints, daemons));
        }
    }

    AdmissionFleet withoutAdmission() {
        mAdmits = false;
        return this;
    }

    AdmissionFleet slowness(final double slowness) {
        mSlowness = slowness;
        return this;
    }

    AdmissionFleet cutReports() {
        mReportsCut = true;
        return this;
    }

    /** Removes endpoints with all that they hold. */
    AdmissionFleet removeEndpoints(final int count) {
        mEndpoints.stream().filter(endpoint -> endpoint.mUp).limit(count).forEach(Endpoint::crash);
        return this;
    }

    AdmissionFleet play(final long millis, final List<Kind> kinds) {
        final long end = mNowMillis + millis;
        while (mNowMillis < end) {
            step(kinds);
        }
        return this;
    }

    Outcome outcome(final String kind) {
        return mOutcomes.computeIfAbsent(kind, name -> new Outcome());
    }

    /** Forgets what was counted, for example while the load settled. */
    AdmissionFleet forget() {
        mOutcomes.clear();
        mRejections = 0;
        mIdleWhileWaiting = 0;
        mSlotSteps = 0;
        return this;
    }

    int rejections() {
        return mRejections;
    }

    int answered() {
        return mOutcomes.values().stream().mapToInt(Outcome::answered).sum();
    }

    int urgentRefusedBesideOthers() {
        return mUrgentRefusedBesideOthers;
    }

    /** Returns the part of the slots' time in which they were idle while requests waited. */
    double idleShareWhileWaiting() {
        return (double) mIdleWhileWaiting / Math.max(mSlotSteps, 1);
    }

    int waiting() {
        return mDaemons.stream().mapToInt(daemon -> daemon.mHeld.size()).sum();
    }

    private Instant now() {
        return START.plusMillis(mNowMillis);
    }

    private void step(final List<Kind> kinds) {
        mNowMillis += STEP_MILLIS;
        mEndpoints.forEach(Endpoint::step);
        mDaemons.forEach(Daemon::report);
        for (final Kind kind : kinds) {
            double due = kind.perSecond() * STEP_MILLIS / 1_000;
            while (mRandom.nextDouble() < due) {
                due--;
                arrive(kind);
            }
        }
        while (!mReturns.isEmpty() && mReturns.peek().atMillis() <= mNowMillis) {
            final Arrival arrival = mReturns.poll();
            arrival.daemon().receive(arrival.request());
        }
        mDaemons.forEach(Daemon::examineHeld);
        countIdle();
    }

    private void countIdle() {
        int idle = 0;
        for (final Endpoint endpoint : mEndpoints) {
            if (endpoint.mUp) {
                mSlotSteps += endpoint.mSlots;
                idle += endpoint.mSlots - endpoint.mRunning.size();
            }
        }
        mIdleWhileWaiting += Math.min(idle, waiting());
    }

    private void arrive(final Kind kind) {
        final Request request = new Request(kind, mNowMillis + kind.usefulMillis());
        outcome(kind.name()).mMade++;
        request.mMillis = kind.millis() * (0.5 + mRandom.nextDouble());
        randomDaemon().receive(request);
    }

    private Daemon randomDaemon() {
        return mDaemons.get(mRandom.nextInt(mDaemons.size()));
    }

    private final class Request {
        private final Kind mKind;
        private final long mUsefulUntil;
        private double mMillis;
        private long mEndsAt;
        private int mAsked;
        private int mSends;
        private long mHeldSince = -1;
        private Daemon mDaemon;
        private int mAt;
        private PlacedRequest mPlaced;
        private AdmissionRequest mAdmission;

        private Request(final Kind kind, final long usefulUntil) {
            mKind = kind;
            mUsefulUntil = usefulUntil;
        }

        private void over(final boolean answered) {
            mDaemon.mOwn[mAt]--;
            mPlaced.end(answered, now());
            if (answered && mNowMillis <= mUsefulUntil) {
                outcome(mKind.name()).mAnswered++;
            }
            mDaemon.examineHeld();
        }

        private void refused(final Duration retryAfter) {
            final long returnsAt = mNowMillis + retryAfter.toMillis();
            mAsked++;
            if (mAsked < MAX_ASKED && returnsAt < mUsefulUntil) {
                mSends = 0;
                mReturns.add(new Arrival(returnsAt, randomDaemon(), this));
            } else {
                outcome(mKind.name()).mRefused++;
            }
        }
    }

    private final class Daemon {
        private final String mName;
        private final ServiceAdmission mAdmission;
        private final int[] mOwn;
        private final int[][] mOthers;
        private final int[] mOthersSum;
        private final Map<String, Request> mHeld = new HashMap<>();
        private long mReportAt;

        private Daemon(final String name, final int endpoints, final int daemons) {
            mName = name;
            mAdmission = new ServiceAdmission(new Random(mRandom.nextLong()));
            mOwn = new int[endpoints];
            mOthers = new int[daemons][endpoints];
            mOthersSum = new int[endpoints];
            mReportAt = mRandom.nextInt((int) mReportMillis);
        }

        private void report() {
            if (mNowMillis % 200 == 0) {
                mAdmission.expire(Duration.ofMillis(3 * mReportMillis), now());
            }
            if (mNowMillis < mReportAt) {
                return;
            }
            mReportAt += mReportMillis;
            final int self = mDaemons.indexOf(this);
            for (final Daemon other : mDaemons) {
                if (other != this && !mReportsCut && mRandom.nextDouble() >= mLoss) {
                    other.receiveReport(self, mName, mOwn, mAdmission.ownWork());
                }
            }
        }

        private void receiveReport(
                final int index,
                final String name,
                final int[] running,
                final List<ServiceWork> work) {
            mAdmission.applyReport(name, work, now());
            for (int endpoint = 0; endpoint < running.length; endpoint++) {
                mOthersSum[endpoint] += running[endpoint] - mOthers[index][endpoint];
                mOthers[index][endpoint] = running[endpoint];
            }
        }

        private ServiceLoad load() {
            final int slots =
                    mEndpoints.stream()
                            .filter(endpoint -> endpoint.mUp)
                            .mapToInt(endpoint -> endpoint.mSlots)
                            .sum();
            return mAdmission.load(SERVICE, now()).endpoints(slots, mEngine).build();
        }

        private void receive(final Request request) {
            mLastId++;
            request.mDaemon = this;
            request.mHeldSince = -1;
            request.mAdmission =
                    AdmissionRequest.builder("r" + mLastId, SERVICE, request.mKind.name())
                            .rank(request.mKind.rank())
                            .customer(request.mKind.customer(), request.mKind.granted(), "")
                            .cost(Duration.ofMillis((long) request.mMillis / 2))
                            .usefulUntil(START.plusMillis(request.mUsefulUntil))
                            .build();
            if (mAdmits) {
                examine(request);
            } else {
                place(request);
            }
        }

        private void examineHeld() {
            if (mHeld.isEmpty()) {
                return;
            }
            for (final AdmissionRequest waiting : mAdmission.waiting(SERVICE)) {
                final Request request = mHeld.get(waiting.id());
                if (request != null) {
                    examine(request);
                }
            }
        }

        private void examine(final Request request) {
            final ServiceLoad load = load();
            final AdmissionDecision decision = mAdmission.decide(request.mAdmission, load, now());
            switch (decision.action()) {
                case PLACE -> {
                    released(request);
                    place(request);
                }
                case REFUSE -> {
                    released(request);
                    countUrgentRefusal(request, load);
                    request.refused(decision.retryAfter());
                }
                default -> hold(request);
            }
        }

        private void countUrgentRefusal(final Request request, final ServiceLoad load) {
            if (request.mKind.rank() == 0 && load.running().lessUrgentThan(0) > 0) {
                mUrgentRefusedBesideOthers++;
            }
        }

        private void hold(final Request request) {
            if (request.mHeldSince < 0) {
                request.mHeldSince = mNowMillis;
                outcome(request.mKind.name()).mHeld++;
                mHeld.put(request.mAdmission.id(), request);
            }
        }

        private void released(final Request request) {
            mHeld.remove(request.mAdmission.id());
            if (request.mHeldSince >= 0) {
                final Outcome outcome = outcome(request.mKind.name());
                outcome.mLongestHold =
                        Math.max(outcome.mLongestHold, mNowMillis - request.mHeldSince);
            }
        }

        private void place(final Request request) {
            request.mPlaced =
                    mAdmission.place(
                            SERVICE, request.mKind.name(), request.mKind.rank(), load(), now());
            send(request);
        }

        private void send(final Request request) {
            final int chosen = choose();
            request.mSends++;
            request.mAt = chosen;
            mOwn[chosen]++;
            if (mEndpoints.get(chosen).offer(request)) {
                return;
            }
            mRejections++;
            mAdmission.recordRejection(SERVICE, now());
            if (request.mSends < MAX_SENDS) {
                mOwn[chosen]--;
                send(request);
            } else {
                request.over(false);
                request.refused(Duration.ofMillis(200));
            }
        }

        private int choose() {
            int best = -1;
            for (int drawn = 0; drawn < SAMPLE; drawn++) {
                int endpoint = mRandom.nextInt(mEndpoints.size());
                while (!mEndpoints.get(endpoint).mUp) {
                    endpoint = (endpoint + 1) % mEndpoints.size();
                }
                if (best < 0 || known(endpoint) < known(best)) {
                    best = endpoint;
                }
            }
            return best;
        }

        private int known(final int endpoint) {
            return mOwn[endpoint] + mOthersSum[endpoint];
        }
    }

    private final class Endpoint {
        private final int mSlots;
        private final int mQueueLimit;
        private final List<Request> mRunning = new ArrayList<>();
        private final Deque<Request> mQueue = new ArrayDeque<>();
        private boolean mUp = true;

        private Endpoint(final int slots, final int queueLimit) {
            mSlots = slots;
            mQueueLimit = queueLimit;
        }

        private boolean offer(final Request request) {
            if (mRunning.size() < mSlots) {
                run(request);
                return true;
            }
            if (mQueue.size() >= mQueueLimit) {
                return false;
            }
            mQueue.add(request);
            return true;
        }

        private void run(final Request request) {
            request.mEndsAt = mNowMillis + (long) (request.mMillis * mSlowness);
            mRunning.add(request);
        }

        private void step() {
            final List<Request> over = new ArrayList<>();
            mRunning.removeIf(
                    request -> {
                        final boolean ended =
                                request.mEndsAt <= mNowMillis || request.mUsefulUntil < mNowMillis;
                        if (ended) {
                            over.add(request);
                        }
                        return ended;
                    });
            mQueue.removeIf(
                    request -> {
                        final boolean late = request.mUsefulUntil < mNowMillis;
                        if (late) {
                            over.add(request);
                        }
                        return late;
                    });
            while (mRunning.size() < mSlots && !mQueue.isEmpty()) {
                run(next());
            }
            over.forEach(request -> request.over(request.mEndsAt > 0 && isAnswered(request)));
        }

        private boolean isAnswered(final Request request) {
            return request.mEndsAt <= mNowMillis && request.mUsefulUntil >= mNowMillis;
        }

        private Request next() {
            if (!mEngine) {
                return mQueue.poll();
            }
            final Request first =
                    mQueue.stream()
                            .min(Comparator.comparingInt(request -> request.mKind.rank()))
                            .orElseThrow();
            mQueue.remove(first);
            return first;
        }

        private void crash() {
            mUp = false;
            final List<Request> lost = new ArrayList<>(mRunning);
            lost.addAll(mQueue);
            mRunning.clear();
            mQueue.clear();
            lost.forEach(request -> request.over(false));
        }
    }

    @Override
    public String toString() {
        return "outcomes %s rejections %d idle %.3f urgent %d queues %s"
                .formatted(
                        mOutcomes,
                        mRejections,
                        idleShareWhileWaiting(),
                        mUrgentRefusedBesideOthers,
                        Arrays.toString(
                                mEndpoints.stream()
                                        .mapToInt(endpoint -> endpoint.mQueue.size())
                                        .toArray()));
    }
}
