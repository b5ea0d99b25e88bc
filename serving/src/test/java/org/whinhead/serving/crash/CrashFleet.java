package org.whinhead.serving.crash;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Daemons and endpoints in simulated time: requests that crash each endpoint that runs them, by
 * themselves or by a part of their prompts, common ones that many callers send, and ones that are
 * sent once and again if their endpoint crashed.
 */
final class CrashFleet {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final int DOWN_MILLIS = 2_000;
    private static final int SHORT_DOWN_MILLIS = 400;
    private static final int CONTACT_MILLIS = 3_000;
    private static final int DETECTION_MILLIS = 3;
    private static final int MAX_MESSAGE_MILLIS = 5;
    private static final int MAX_CRASH_MILLIS = 60;
    private static final int MAX_RUN_MILLIS = 400;
    private static final int MAX_SENDS = 4;
    private static final int GUARD_WAIT_MILLIS = 30;
    private static final int MAX_GUARD_WAITS = 8;
    private static final int MIN_BEGIN_MILLIS = 20;
    private static final int MAX_BEGIN_MILLIS = 120;
    private static final int SHARED_PARTS = 12;
    private static final int FIRST_PART = 1;
    private static final int FIRST_SHARED_PART = 2;
    private static final int FIRST_BAD_PART = 100;
    private static final int CUSTOMER_PARTS = 1_000_000;
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
    private final List<CrashTally> mCrashing = new ArrayList<>();
    private final double mLoss;
    private int mDownMillis = DOWN_MILLIS;
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
            mDaemons.add(newDaemon(rank));
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

    private static CrashSuspects newDaemon(final int rank) {
        final CrashSuspects daemon = new CrashSuspects();
        daemon.setRank(rank);
        return daemon;
    }

    private record Event(long millis, long number, Runnable task) {}

    /** The crashes that requests of one kind have caused, and when they were sent later. */
    static final class CrashTally {
        private final int mKnownAfter;
        private final double mProbability;
        private int mCrashes;
        private long mKnownAt = Long.MAX_VALUE;
        private int mLaterSends;

        private CrashTally(final int knownAfter, final double probability) {
            mKnownAfter = knownAfter;
            mProbability = probability;
        }

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

    /** One call; the tally is null if it crashes no endpoint. */
    private record Call(List<RequestFeature> features, CrashTally tally) {}

    private static final class Endpoint {
        private final String mName;
        private final Set<Run> mRunning = new LinkedHashSet<>();
        private int mIncarnation;
        private boolean mKeepsId;
        private boolean mUp = true;

        private Endpoint(final String name) {
            mName = name;
        }

        private String id() {
            return mKeepsId ? mName : mName + "." + mIncarnation;
        }
    }

    private static final class Run {
        private final Call mCall;
        private final int mDaemon;
        private final List<FeatureLevel> mKnown;
        private final Runnable mOnCrash;

        private Run(
                final Call call,
                final int daemon,
                final List<FeatureLevel> known,
                final Runnable onCrash) {
            mCall = call;
            mDaemon = daemon;
            mKnown = known;
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

    private RequestFeature newIdentity() {
        mNextIdentity++;
        return new RequestFeature((int) mNextIdentity + 10_000, mNextIdentity, 0);
    }

    private static RequestFeature part(final int number) {
        return new RequestFeature(-number, number, 1);
    }

    /** Lets callers send a request again and again that crashes each endpoint that runs it. */
    CrashFleet addCrashing(final int requests, final int intervalMillis) {
        for (int index = 0; index < requests; index++) {
            final CrashTally tally = new CrashTally(3, 1);
            final Call call = new Call(List.of(newIdentity()), tally);
            mCrashing.add(tally);
            repeat(intervalMillis, mRandom.nextInt(intervalMillis), () -> send(call, 1));
        }
        return this;
    }

    /**
     * Lets callers send requests with a part that crashes endpoints, no two alike, which come with
     * the first part of all and with shared ones.
     *
     * @param parts the number of such parts
     * @param intervalMillis the time between two requests with one of them
     * @param probability the share of the requests that crash their endpoint
     */
    CrashFleet addCrashingParts(
            final int parts, final int intervalMillis, final double probability) {
        for (int index = 0; index < parts; index++) {
            final CrashTally tally = new CrashTally(5, probability);
            final int part = FIRST_BAD_PART + index;
            mCrashing.add(tally);
            repeat(
                    intervalMillis,
                    mRandom.nextInt(intervalMillis),
                    () -> send(new Call(withParts(List.of(part, sharedPart())), tally), 1));
        }
        return this;
    }

    /** Lets callers send sound requests, no two alike, with the first part and a shared one. */
    CrashFleet addSharing(final int intervalMillis) {
        repeat(
                intervalMillis,
                mRandom.nextInt(intervalMillis),
                () -> send(new Call(withParts(List.of(sharedPart())), null), 1));
        return this;
    }

    /** Some shared parts are asked for far less often than others. */
    private int sharedPart() {
        return FIRST_SHARED_PART + mRandom.nextInt(1 + mRandom.nextInt(SHARED_PARTS));
    }

    private List<RequestFeature> withParts(final List<Integer> parts) {
        final List<RequestFeature> features = new ArrayList<>(List.of(newIdentity()));
        final List<Integer> all = new ArrayList<>(parts);
        all.add(mRandom.nextBoolean() ? 0 : all.size(), FIRST_PART);
        for (final int part : all) {
            features.add(part(part));
            features.add(part(part + CUSTOMER_PARTS));
        }
        features.add(newIdentity());
        return features;
    }

    /** Kills one daemon after the other; each knows nothing when it starts again. */
    CrashFleet addKills(final int intervalMillis) {
        repeat(
                intervalMillis,
                intervalMillis,
                () -> {
                    final int killed = mRandom.nextInt(mDaemons.size());
                    mDaemons.set(killed, newDaemon(killed));
                    mUsual.set(killed, new UsualRequests());
                });
        return this;
    }

    /** Lets many callers send the same requests. */
    CrashFleet addCommon(final int requests, final int intervalMillis) {
        for (int index = 0; index < requests; index++) {
            final Call call = new Call(List.of(newIdentity()), null);
            repeat(intervalMillis, mRandom.nextInt(intervalMillis), () -> send(call, 1));
        }
        return this;
    }

    /** Lets callers send requests that are different each time. */
    CrashFleet addSingle(final int intervalMillis) {
        repeat(intervalMillis, 0, () -> send(new Call(List.of(newIdentity()), null), 1));
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

    /** Lets endpoints start again under the ids that they had, after a short time. */
    CrashFleet keepIds() {
        mEndpoints.forEach(endpoint -> endpoint.mKeepsId = true);
        mDownMillis = SHORT_DOWN_MILLIS;
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
            final FeatureAnswer answer =
                    new FeatureAnswer(
                            List.of(
                                    new FeatureLevel(
                                            record.feature(),
                                            receiver.level(record.feature(), now()))),
                            true);
            schedule(2, () -> sender.applyPeerAnswer(answer, now()));
        }
    }

    private Endpoint pickEndpoint(final CrashSuspects daemon, final boolean guarded) {
        final List<Endpoint> free =
                mEndpoints.stream()
                        .filter(endpoint -> endpoint.mUp)
                        .filter(endpoint -> !guarded || !daemon.isGuarded(endpoint.id(), now()))
                        .toList();
        return free.isEmpty() ? null : free.get(mRandom.nextInt(free.size()));
    }

    private AnswerHistory history(final int daemon, final RequestFeature feature) {
        return mUsual.get(daemon).history(feature.high() ^ feature.low() << 40, now());
    }

    /** Starts a run that was allowed. */
    private Run start(
            final Call call,
            final int daemon,
            final List<RequestFeature> guarded,
            final Endpoint endpoint,
            final Runnable onCrash) {
        final CrashSuspects suspects = mDaemons.get(daemon);
        final List<FeatureLevel> known =
                call.features().stream()
                        .map(feature -> new FeatureLevel(feature, suspects.level(feature, now())))
                        .toList();
        final Run run = new Run(call, daemon, known, onCrash);
        if (!guarded.isEmpty()) {
            suspects.recordPlaced(guarded, endpoint.id(), now());
            send(daemon, to -> to.applyPeerStart(guarded, endpoint.id(), now()));
        }
        endpoint.mRunning.add(run);
        return run;
    }

    private void send(final Call call, final int sends) {
        final int daemon = mRandom.nextInt(mDaemons.size());
        if (call.tally() == null) {
            mInnocentCalls++;
        }
        decide(call, sends, daemon, MAX_GUARD_WAITS);
    }

    private void decide(final Call call, final int sends, final int daemon, final int waits) {
        final CrashSuspects suspects = mDaemons.get(daemon);
        if (mEndpoints.stream().noneMatch(endpoint -> endpoint.mUp)) {
            return;
        }
        final Function<RequestFeature, AnswerHistory> history = feature -> history(daemon, feature);
        final SuspectDecision decision = suspects.decide(call.features(), history, now());
        if (decision.isAllowed()) {
            final List<RequestFeature> guarded =
                    suspects.recordStart(call.features(), history, now());
            final Endpoint endpoint = pickEndpoint(suspects, !guarded.isEmpty());
            if (endpoint != null) {
                run(call, sends, daemon, guarded, endpoint);
                return;
            }
            suspects.recordEnd(guarded, now());
        } else if (decision.isShort() && waits > 0) {
            schedule(GUARD_WAIT_MILLIS, () -> decide(call, sends, daemon, waits - 1));
            return;
        }
        if (call.tally() == null) {
            mInnocentRefusals++;
        }
    }

    private void run(
            final Call call,
            final int sends,
            final int daemon,
            final List<RequestFeature> guarded,
            final Endpoint endpoint) {
        final CrashTally tally = call.tally();
        if (tally != null && mNow - CONTACT_MILLIS > tally.mKnownAt) {
            tally.mLaterSends++;
        }
        final Runnable again =
                () -> {
                    if (sends < MAX_SENDS && tally == null) {
                        send(call, sends + 1);
                    }
                };
        final Run run = start(call, daemon, guarded, endpoint, again);
        if (tally != null && mRandom.nextDouble() < tally.mProbability) {
            schedule(1 + mRandom.nextInt(MAX_CRASH_MILLIS), () -> crashUnder(run, endpoint));
            return;
        }
        final int begin = MIN_BEGIN_MILLIS + mRandom.nextInt(MAX_BEGIN_MILLIS - MIN_BEGIN_MILLIS);
        schedule(begin, () -> begun(run, endpoint));
        schedule(
                begin + 1 + mRandom.nextInt(MAX_RUN_MILLIS),
                () -> {
                    if (endpoint.mRunning.remove(run)) {
                        answered(run);
                    }
                });
    }

    private void crashUnder(final Run run, final Endpoint endpoint) {
        if (endpoint.mRunning.contains(run)) {
            final CrashTally tally = run.mCall.tally();
            tally.mCrashes++;
            if (tally.mCrashes == tally.mKnownAfter) {
                tally.mKnownAt = mNow;
            }
            crash(endpoint);
        }
    }

    private void begun(final Run run, final Endpoint endpoint) {
        if (endpoint.mRunning.contains(run)) {
            final List<FeatureLevel> begun =
                    mDaemons.get(run.mDaemon).recordBegun(run.mCall.features(), now()).stream()
                            .map(feature -> new FeatureLevel(feature, 0))
                            .toList();
            tell(run, begun, false);
        }
    }

    private void tell(final Run run, final List<FeatureLevel> features, final boolean complete) {
        if (!features.isEmpty()) {
            final FeatureAnswer answer = new FeatureAnswer(features, complete);
            send(run.mDaemon, to -> to.applyPeerAnswer(answer, now()));
        }
    }

    private void answered(final Run run) {
        final CrashSuspects daemon = mDaemons.get(run.mDaemon);
        run.mCall
                .features()
                .forEach(
                        feature ->
                                mUsual.get(run.mDaemon)
                                        .recordAnswer(feature.high() ^ feature.low() << 40, now()));
        final List<FeatureLevel> features = daemon.recordAnswer(run.mCall.features(), now());
        if (!features.isEmpty()) {
            for (final int delay : ANSWER_SENDS_MILLIS) {
                schedule(delay, () -> tellAnswered(run, features));
            }
        }
    }

    private void tellAnswered(final Run run, final List<FeatureLevel> features) {
        final CrashSuspects daemon = mDaemons.get(run.mDaemon);
        if (features.stream()
                .allMatch(
                        answered -> daemon.level(answered.feature(), now()) <= answered.level())) {
            tell(run, features, true);
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
        schedule(mDownMillis, () -> endpoint.mUp = true);
        schedule(DETECTION_MILLIS, () -> lost.forEach(run -> detected(run, id)));
    }

    private void detected(final Run run, final String endpoint) {
        final CrashSuspects daemon = mDaemons.get(run.mDaemon);
        final List<FeatureLevel> blamed =
                daemon.recordCrash(
                        run.mKnown, feature -> history(run.mDaemon, feature), endpoint, now());
        send(run.mDaemon, to -> to.applyPeerCrash(blamed, endpoint, now()));
        run.mOnCrash.run();
    }

    List<CrashTally> crashing() {
        return List.copyOf(mCrashing);
    }

    int innocentCalls() {
        return mInnocentCalls;
    }

    int innocentRefusals() {
        return mInnocentRefusals;
    }
}
