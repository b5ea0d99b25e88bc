package org.whinhead.serving.speed;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import org.whinhead.serving.balance.EndpointChooser;
import org.whinhead.serving.balance.Placement;
import org.whinhead.serving.balance.Work;
import org.whinhead.serving.endpoint.EndpointEntry;

/**
 * Daemons before model engines of uneven speed, in simulated time. The daemons choose and learn
 * with the product's own classes; their reports are as old as in a deployment of that size, and a
 * fifth of them is lost.
 */
final class SpeedFleet {

    private static final String SERVICE = "pool";
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final int SLOTS = 32;
    private static final int TOKENS = 30;
    private static final double STEP_MILLIS = 18;
    private static final double STEP_PER_RUNNING_MILLIS = 0.5;
    private static final double PREFILL_TOKENS_PER_MILLI = 38.4;
    private static final double NETWORK_MILLIS = 1;
    private static final double LOSS_SHARE = 0.2;
    private static final double EPISODE_MILLIS = 600;
    private static final double EPISODE_SLOWNESS = 2.5;
    private static final double KNEE_SLOWNESS = 2;
    private static final double SEND_INTERVAL_MILLIS = 200;
    private static final double NEWS_MILLIS = 60;

    private final Random mRandom;
    private final double mEpisodeShare;
    private final double mReportMillis;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingDouble(Event::at).thenComparingLong(Event::sequence));
    private final List<Daemon> mDaemons = new ArrayList<>();
    private final List<Engine> mEngines = new ArrayList<>();
    private final List<EndpointEntry> mEntries = new ArrayList<>();
    private final Map<EndpointEntry, Engine> mByEntry = new HashMap<>();
    private int mNews;
    private double mNow;
    private long mSequence;

    /**
     * Creates a fleet whose engines' slowness is spread evenly from 0.6 to 1.6.
     *
     * @param daemons the number of daemons
     * @param engines the number of engines
     * @param episodeShare the share of time in which each engine is 2.5 times slower
     * @param seed the seed of chance
     */
    SpeedFleet(final int daemons, final int engines, final double episodeShare, final long seed) {
        mRandom = new Random(seed);
        mEpisodeShare = episodeShare;
        mReportMillis = Math.max(SEND_INTERVAL_MILLIS, 22.0 * daemons);
        for (int index = 0; index < engines; index++) {
            final EndpointEntry entry =
                    EndpointEntry.builder(
                                    "e-" + index,
                                    SERVICE,
                                    InetSocketAddress.createUnresolved("engine", 1),
                                    "domain-a")
                            .slots(SLOTS)
                            .build();
            mEntries.add(entry);
            mEngines.add(new Engine(0.6 + index / (engines - 1.0)));
            mByEntry.put(entry, mEngines.get(index));
        }
        for (int index = 0; index < daemons; index++) {
            final Daemon daemon = new Daemon("d-" + index);
            mDaemons.add(daemon);
            schedule(mRandom.nextDouble() * SEND_INTERVAL_MILLIS, daemon::report);
        }
        if (episodeShare > 0) {
            mEngines.forEach(Engine::scheduleEpisode);
        }
    }

    private record Event(double at, long sequence, Runnable task) {}

    private void schedule(final double delayMillis, final Runnable task) {
        mEvents.add(new Event(mNow + delayMillis, mSequence++, task));
    }

    Instant now() {
        return START.plus(Duration.ofNanos((long) (mNow * 1e6)));
    }

    /** Plays requests at a rate for a time. */
    SpeedFleet play(final double requestsPerSecond, final double seconds) {
        final double end = mNow + seconds * 1_000;
        double at = mNow;
        while (true) {
            at += -Math.log(1 - mRandom.nextDouble()) / requestsPerSecond * 1_000;
            if (at >= end) {
                break;
            }
            final Daemon daemon = mDaemons.get(mRandom.nextInt(mDaemons.size()));
            schedule(at - mNow, () -> new Request(daemon).place());
        }
        while (!mEvents.isEmpty() && mEvents.peek().at() < end) {
            final Event event = mEvents.poll();
            mNow = event.at();
            event.task().run();
        }
        mNow = end;
        return this;
    }

    /** Returns the requests per second that all engines serve with their slots in use. */
    double capacity() {
        final double step = STEP_MILLIS + STEP_PER_RUNNING_MILLIS * SLOTS;
        return sum(engine -> SLOTS * 1_000 / (step * TOKENS * engine.mSlowness));
    }

    private double sum(final ToDoubleFunction<Engine> value) {
        return mEngines.stream().mapToDouble(value).sum();
    }

    Engine engine(final int index) {
        return mEngines.get(index);
    }

    Daemon daemon(final int index) {
        return mDaemons.get(index);
    }

    String id(final int index) {
        return mEntries.get(index).id();
    }

    /** Returns the broadcasts of changes so far. */
    int news() {
        return mNews;
    }

    int engines() {
        return mEngines.size();
    }

    void kill(final Daemon daemon) {
        mDaemons.remove(daemon);
        daemon.mAlive = false;
    }

    /** Returns the mean over the daemons of an engine's learnt slowness. */
    double learnt(final int index) {
        return Math.exp(
                mDaemons.stream()
                        .mapToDouble(daemon -> Math.log(daemon.slowness(index)))
                        .average()
                        .orElseThrow());
    }

    /** Returns the share of daemons' estimates that are wrong by more than a fifth. */
    double wrongShare() {
        final double typical =
                (mEngines.get((engines() - 1) / 2).mSlowness
                                + mEngines.get(engines() / 2).mSlowness)
                        / 2;
        int wrong = 0;
        for (final Daemon daemon : mDaemons) {
            for (int index = 0; index < engines(); index++) {
                final double ratio =
                        daemon.slowness(index) * typical / mEngines.get(index).mSlowness;
                wrong += ratio > 1.2 || ratio < 1 / 1.2 ? 1 : 0;
            }
        }
        return (double) wrong / (mDaemons.size() * engines());
    }

    void clearCounts() {
        mEngines.forEach(engine -> engine.mPlaced = 0);
    }

    /** Returns an engine's requests since the counts were cleared, as a share of all. */
    double share(final int index) {
        return mEngines.get(index).mPlaced / sum(engine -> engine.mPlaced);
    }

    /** Returns the share of requests that an engine gets by its speed. */
    double shareBySpeed(final int index) {
        return 1 / mEngines.get(index).mSlowness / sum(engine -> 1 / engine.mSlowness);
    }

    /** A daemon, or an observer that gets reports and no requests. */
    final class Daemon {
        private final String mName;
        private final EndpointSpeeds mSpeeds = new EndpointSpeeds();
        private final EndpointChooser mChooser;
        private boolean mAlive = true;
        private boolean mMuted;
        private boolean mNewsScheduled;
        private int mNextReceiver;

        private Daemon(final String name) {
            mName = name;
            mChooser =
                    new EndpointChooser(
                            "domain-a", new Random(mRandom.nextLong()), Optional.of(mSpeeds));
            mNextReceiver = mRandom.nextInt(1_000);
            mSpeeds.onChange(this::tellChange);
        }

        private void tellChange() {
            if (!mNewsScheduled) {
                mNewsScheduled = true;
                schedule(NEWS_MILLIS, this::sendChanges);
            }
        }

        private void sendChanges() {
            mNewsScheduled = false;
            final List<SpeedReport> changes = mSpeeds.changes(now());
            if (!changes.isEmpty()) {
                mNews++;
                mDaemons.forEach(other -> send(other, () -> other.learn(this, changes)));
                tellChange();
            }
        }

        private void send(final Daemon other, final Runnable receive) {
            if (other != this && !other.mMuted && mRandom.nextDouble() >= LOSS_SHARE) {
                schedule(NETWORK_MILLIS, receive);
            }
        }

        EndpointSpeeds speeds() {
            return mSpeeds;
        }

        /** Loses all reports to this daemon from now on. */
        void mute() {
            mMuted = true;
        }

        double slowness(final int index) {
            return mSpeeds.slowness(SERVICE, id(index), now());
        }

        private void report() {
            if (!mAlive) {
                return;
            }
            final List<SpeedReport> speeds = mSpeeds.takeReports(now());
            final int receivers =
                    (int) Math.ceil(mDaemons.size() * SEND_INTERVAL_MILLIS / mReportMillis);
            for (int count = 0; count < receivers; count++) {
                final Daemon other = mDaemons.get(mNextReceiver++ % mDaemons.size());
                send(other, () -> other.receive(this, speeds));
            }
            schedule(SEND_INTERVAL_MILLIS, this::report);
        }

        private void receive(final Daemon sender, final List<SpeedReport> speeds) {
            for (final EndpointEntry entry : mEntries) {
                mChooser.updatePeerLoad(
                        sender.mName,
                        entry.id(),
                        sender.mChooser.load(entry.id()).ownRunning(),
                        sender.mChooser.load(entry.id()).ownPromptTokens());
            }
            learn(sender, speeds);
        }

        private void learn(final Daemon sender, final List<SpeedReport> speeds) {
            speeds.forEach(speed -> mSpeeds.applyReport(sender.mName, speed, speed.age(), now()));
        }
    }

    private final class Request {
        private final Daemon mDaemon;
        private final int mPromptTokens = 500 + mRandom.nextInt(1_000);
        private Placement mPlacement;
        private Engine mEngine;
        private int mTokensLeft = 1 + TOKENS / 2 + mRandom.nextInt(TOKENS);

        private Request(final Daemon daemon) {
            mDaemon = daemon;
        }

        private void place() {
            final Work work = new Work(List.of(), mPromptTokens, TOKENS);
            mPlacement =
                    mDaemon.mChooser.place(mEntries, work, Set.of(), false, now()).orElseThrow();
            mPlacement.recordSent(now());
            mEngine = mByEntry.get(mPlacement.endpoint());
            mEngine.mPlaced++;
            schedule(NETWORK_MILLIS, () -> mEngine.arrive(this));
        }

        private void token() {
            mPlacement.recordToken(now());
            mTokensLeft--;
            if (mTokensLeft > 0) {
                schedule(mEngine.stepMillis(), this::token);
            } else {
                mPlacement.recordCompleted(false, now());
                mPlacement.release();
                mEngine.ended();
            }
        }
    }

    /** A model engine: prefills one prompt at a time, and runs as many requests as it has slots. */
    final class Engine {
        private final double mSlowness;
        private final Deque<Request> mWaiting = new ArrayDeque<>();
        private double mFactor = 1;
        private double mEpisode = 1;
        private int mKnee = Integer.MAX_VALUE;
        private int mRunning;
        private double mPrefillFreeAt;
        private double mPlaced;

        private Engine(final double slowness) {
            mSlowness = slowness;
        }

        /** Multiplies the times of this engine. */
        void setFactor(final double factor) {
            mFactor = factor;
        }

        /** Lets the engine take twice as long from a number of requests in progress. */
        void setKnee(final int running) {
            mKnee = running;
        }

        double placed() {
            return mPlaced;
        }

        int running() {
            return mRunning + mWaiting.size();
        }

        private void scheduleEpisode() {
            final double mean = EPISODE_MILLIS * (1 / mEpisodeShare - 1);
            schedule(
                    -Math.log(1 - mRandom.nextDouble()) * mean,
                    () -> {
                        mEpisode = EPISODE_SLOWNESS;
                        schedule(
                                EPISODE_MILLIS,
                                () -> {
                                    mEpisode = 1;
                                    scheduleEpisode();
                                });
                    });
        }

        private double factor() {
            return mSlowness * mFactor * mEpisode * (mRunning >= mKnee ? KNEE_SLOWNESS : 1);
        }

        private double stepMillis() {
            return factor() * (STEP_MILLIS + STEP_PER_RUNNING_MILLIS * mRunning);
        }

        private void arrive(final Request request) {
            if (mRunning >= SLOTS) {
                mWaiting.add(request);
                return;
            }
            mRunning++;
            final double prefill = factor() * request.mPromptTokens / PREFILL_TOKENS_PER_MILLI;
            mPrefillFreeAt = Math.max(mPrefillFreeAt, mNow) + prefill;
            schedule(mPrefillFreeAt - mNow + stepMillis(), request::token);
        }

        private void ended() {
            mRunning--;
            if (!mWaiting.isEmpty()) {
                arrive(mWaiting.remove());
            }
        }
    }
}
