package org.whinhead.serving.crash;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Daemons and endpoints in simulated time: requests that crash each endpoint that runs them, common
 * ones that many callers send, and ones that are sent once and again if their endpoint crashed.
 */
final class CrashFleet {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final int DOWN_MILLIS = 2_000;
    private static final int CONTACT_MILLIS = 3_000;
    private static final int DETECTION_MILLIS = 3;
    private static final int MAX_MESSAGE_MILLIS = 5;
    private static final int MAX_CRASH_MILLIS = 60;
    private static final int MAX_RUN_MILLIS = 400;
    private static final int MAX_SENDS = 4;
    private static final int[] ANSWER_SENDS_MILLIS = {0, 100, 300, 700};
    private static final int MIN_REPORT_MILLIS = 200;
    private static final int REPORT_MILLIS_PER_DAEMON = 25;
    private static final int RECORDS_PER_REPORT = 8;

    private final Random mRandom;
    private final List<CrashSuspects> mDaemons = new ArrayList<>();
    private final List<UsualRequests> mUsual = new ArrayList<>();
    private final List<Endpoint> mEndpoints = new ArrayList<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::millis).thenComparingLong(Event::number));
    private final Map<RequestIdentity, CrashTally> mCrashing = new LinkedHashMap<>();
    private final double mLoss;
    private long mNow;
    private long mEventCount;
    private long mCutUntil;
    private long mNextIdentity;
    private boolean mMassCrashesEnded;
    private int mInnocentCalls;
    private int mInnocentRefusals;

    CrashFleet(final int daemons, final int endpoints, final double loss, final long seed) {
        mRandom = new Random(seed);
        mLoss = loss;
        for (int rank = 0; rank < daemons; rank++) {
            final CrashSuspects daemon = new CrashSuspects();
            daemon.setDaemons(daemons, rank);
            mDaemons.add(daemon);
            mUsual.add(new UsualRequests());
        }
        for (int index = 0; index < endpoints; index++) {
            mEndpoints.add(new Endpoint("e-" + index));
        }
        final int interval = Math.max(MIN_REPORT_MILLIS, daemons * REPORT_MILLIS_PER_DAEMON);
        for (int rank = 0; rank < daemons; rank++) {
            final int sender = rank;
            repeat(interval, mRandom.nextInt(interval), () -> report(sender));
        }
    }

    private record Event(long millis, long number, Runnable task) {}

    /** The crashes that one request has caused, and when it was sent after the third. */
    static final class CrashTally {
        private int mCrashes;
        private long mThirdAt = Long.MAX_VALUE;
        private int mLaterSends;

        int crashes() {
            return mCrashes;
        }

        int laterSends() {
            return mLaterSends;
        }

        @Override
        public String toString() {
            return mCrashes + " crashes, " + mLaterSends + " later sends";
        }
    }

    private static final class Endpoint {
        private final String mName;
        private final Set<Run> mRunning = new LinkedHashSet<>();
        private int mIncarnation;
        private boolean mUp = true;

        private Endpoint(final String name) {
            mName = name;
        }

        private String id() {
            return mName + "." + mIncarnation;
        }
    }

    private static final class Run {
        private final RequestIdentity mRequest;
        private final int mDaemon;
        private final int mKnownLevel;
        private final Runnable mOnCrash;

        private Run(
                final RequestIdentity request,
                final int daemon,
                final int knownLevel,
                final Runnable onCrash) {
            mRequest = request;
            mDaemon = daemon;
            mKnownLevel = knownLevel;
            mOnCrash = onCrash;
        }
    }

    private Instant now() {
        return START.plusMillis(mNow);
    }

    private void schedule(final long delayMillis, final Runnable task) {
        mEvents.add(new Event(mNow + delayMillis, mEventCount++, task));
    }

    private void repeat(final int intervalMillis, final int firstMillis, final Runnable task) {
        schedule(
                firstMillis,
                () -> {
                    task.run();
                    repeat(intervalMillis, intervalMillis, task);
                });
    }

    private RequestIdentity newIdentity() {
        mNextIdentity++;
        return new RequestIdentity((int) mNextIdentity, mNextIdentity, mRandom.nextInt(1_000_000));
    }

    /** Lets callers send a request again and again that crashes each endpoint that runs it. */
    CrashFleet addCrashing(final int requests, final int intervalMillis) {
        for (int index = 0; index < requests; index++) {
            final RequestIdentity request = newIdentity();
            mCrashing.put(request, new CrashTally());
            repeat(intervalMillis, mRandom.nextInt(intervalMillis), () -> sendCrashing(request));
        }
        return this;
    }

    /** Lets many callers send the same requests. */
    CrashFleet addCommon(final int requests, final int intervalMillis) {
        for (int index = 0; index < requests; index++) {
            final RequestIdentity request = newIdentity();
            repeat(intervalMillis, mRandom.nextInt(intervalMillis), () -> sendInnocent(request, 1));
        }
        return this;
    }

    /** Lets callers send requests that are different each time. */
    CrashFleet addSingle(final int intervalMillis) {
        repeat(intervalMillis, 0, () -> sendInnocent(newIdentity(), 1));
        return this;
    }

    /** Lets endpoints crash of themselves, some at the same moment. */
    CrashFleet addOwnCrashes(final int endpoints, final int intervalMillis) {
        repeat(
                intervalMillis,
                intervalMillis,
                () -> {
                    for (int index = 0; index < endpoints; index++) {
                        crash(mEndpoints.get(mRandom.nextInt(mEndpoints.size())));
                    }
                });
        return this;
    }

    /** Lets all endpoints crash together, one by one within some milliseconds. */
    CrashFleet addMassCrashes(final int intervalMillis, final int spreadMillis) {
        repeat(
                intervalMillis,
                intervalMillis,
                () -> {
                    if (!mMassCrashesEnded) {
                        mEndpoints.forEach(
                                endpoint ->
                                        schedule(
                                                mRandom.nextInt(spreadMillis),
                                                () -> crash(endpoint)));
                    }
                });
        return this;
    }

    CrashFleet stopMassCrashes() {
        mMassCrashesEnded = true;
        return this;
    }

    /** Cuts the first third of the daemons off from the others for a time. */
    CrashFleet cutThird(final long untilMillis) {
        mCutUntil = untilMillis;
        return this;
    }

    CrashFleet play(final long millis) {
        final long end = mNow + millis;
        while (!mEvents.isEmpty() && mEvents.peek().millis() <= end) {
            final Event event = mEvents.poll();
            mNow = event.millis();
            event.task().run();
        }
        mNow = end;
        return this;
    }

    private boolean isSent(final int from, final int to) {
        final int third = mDaemons.size() / 3;
        final boolean cut = mNow < mCutUntil && (from < third) != (to < third);
        return from != to && !cut && mRandom.nextDouble() >= mLoss;
    }

    private void send(final int from, final Consumer<CrashSuspects> message) {
        for (int to = 0; to < mDaemons.size(); to++) {
            if (isSent(from, to)) {
                final CrashSuspects receiver = mDaemons.get(to);
                schedule(1 + mRandom.nextInt(MAX_MESSAGE_MILLIS), () -> message.accept(receiver));
            }
        }
    }

    private void report(final int sender) {
        final CrashSuspects from = mDaemons.get(sender);
        final List<SuspectRecord> records = from.nextRecords(RECORDS_PER_REPORT, now());
        if (!records.isEmpty()) {
            send(sender, to -> records.forEach(record -> apply(to, record, from)));
        }
    }

    private void apply(
            final CrashSuspects receiver, final SuspectRecord record, final CrashSuspects sender) {
        if (receiver.applyPeerRecord(record, now())) {
            schedule(2, () -> sender.applyPeerAnswer(record.identity(), now()));
        }
    }

    private Endpoint pickEndpoint() {
        final List<Endpoint> up = mEndpoints.stream().filter(endpoint -> endpoint.mUp).toList();
        return up.isEmpty() ? null : up.get(mRandom.nextInt(up.size()));
    }

    /** Starts a run that was allowed. */
    private Run start(
            final RequestIdentity request,
            final int daemon,
            final Endpoint endpoint,
            final Runnable onCrash) {
        final CrashSuspects suspects = mDaemons.get(daemon);
        final Run run = new Run(request, daemon, suspects.level(request, now()), onCrash);
        suspects.recordStart(request, now());
        endpoint.mRunning.add(run);
        return run;
    }

    private void sendCrashing(final RequestIdentity request) {
        final int daemon = mRandom.nextInt(mDaemons.size());
        final Endpoint endpoint = pickEndpoint();
        if (endpoint == null || !mDaemons.get(daemon).decide(request, now()).isAllowed()) {
            return;
        }
        final CrashTally tally = mCrashing.get(request);
        if (mNow - CONTACT_MILLIS > tally.mThirdAt) {
            tally.mLaterSends++;
        }
        final Run run = start(request, daemon, endpoint, () -> {});
        schedule(
                1 + mRandom.nextInt(MAX_CRASH_MILLIS),
                () -> {
                    if (endpoint.mRunning.contains(run)) {
                        tally.mCrashes++;
                        if (tally.mCrashes == 3) {
                            tally.mThirdAt = mNow;
                        }
                        crash(endpoint);
                    }
                });
    }

    private void sendInnocent(final RequestIdentity request, final int sends) {
        final int daemon = mRandom.nextInt(mDaemons.size());
        final Endpoint endpoint = pickEndpoint();
        mInnocentCalls++;
        if (endpoint == null) {
            return;
        }
        if (!mDaemons.get(daemon).decide(request, now()).isAllowed()) {
            mInnocentRefusals++;
            return;
        }
        final Runnable again =
                () -> {
                    if (sends < MAX_SENDS) {
                        sendInnocent(request, sends + 1);
                    }
                };
        final Run run = start(request, daemon, endpoint, again);
        schedule(
                1 + mRandom.nextInt(MAX_RUN_MILLIS),
                () -> {
                    if (endpoint.mRunning.remove(run)) {
                        answered(run);
                    }
                });
    }

    private void answered(final Run run) {
        final CrashSuspects daemon = mDaemons.get(run.mDaemon);
        daemon.recordEnd(run.mRequest);
        mUsual.get(run.mDaemon).recordAnswer(run.mRequest.high(), now());
        if (daemon.recordAnswer(run.mRequest, now())) {
            for (final int delay : ANSWER_SENDS_MILLIS) {
                schedule(delay, () -> tellAnswered(run));
            }
        }
    }

    private void tellAnswered(final Run run) {
        if (mDaemons.get(run.mDaemon).level(run.mRequest, now()) == 0) {
            send(run.mDaemon, to -> to.applyPeerAnswer(run.mRequest, now()));
        }
    }

    private void crash(final Endpoint endpoint) {
        if (!endpoint.mUp) {
            return;
        }
        final String id = endpoint.id();
        final List<Run> lost = List.copyOf(endpoint.mRunning);
        endpoint.mRunning.clear();
        endpoint.mUp = false;
        endpoint.mIncarnation++;
        schedule(DOWN_MILLIS, () -> endpoint.mUp = true);
        schedule(DETECTION_MILLIS, () -> lost.forEach(run -> detected(run, id)));
    }

    private void detected(final Run run, final String endpoint) {
        final CrashSuspects daemon = mDaemons.get(run.mDaemon);
        daemon.recordEnd(run.mRequest);
        final int level =
                daemon.recordCrash(
                        run.mRequest,
                        endpoint,
                        run.mKnownLevel,
                        mUsual.get(run.mDaemon).contains(run.mRequest.high(), now()),
                        now());
        send(run.mDaemon, to -> to.applyPeerCrash(run.mRequest, endpoint, level, now()));
        run.mOnCrash.run();
    }

    List<CrashTally> crashing() {
        return List.copyOf(mCrashing.values());
    }

    int innocentCalls() {
        return mInnocentCalls;
    }

    int innocentRefusals() {
        return mInnocentRefusals;
    }
}
