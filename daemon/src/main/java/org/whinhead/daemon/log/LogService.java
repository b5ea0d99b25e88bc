package org.whinhead.daemon.log;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.random.RandomGenerator;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.request.RequestId;
import org.whinhead.clients.log.LogClient;
import org.whinhead.requests.ClaimOutcome;
import org.whinhead.settings.deployment.DeploymentSettings;
import org.whinhead.state.claim.ClaimKey;
import org.whinhead.state.fold.FoldState;
import org.whinhead.state.fold.FoldView;
import org.whinhead.state.writer.LogReader;
import org.whinhead.state.writer.LogWriter;
import org.whinhead.state.writer.WriteBackoff;
import org.whinhead.state.writer.WriterLimits;
import org.xnio.XnioIoThread;

/**
 * Follows and writes the log on its own thread, the log thread: the shared state with its
 * checkpoints, the changes of settings, and the claims.
 */
public final class LogService implements AutoCloseable {

    private static final String FLEET_STREAM = "fleet";
    private static final String CHECKPOINT_STREAM = "checkpoints";
    private static final String CLAIM_STREAM = "claims-0";
    private static final Duration TICK = Duration.ofMillis(10);
    private static final Duration FIRST_BACKOFF = Duration.ofMillis(50);
    private static final Duration MAX_BACKOFF = Duration.ofSeconds(1);
    private static final int RING_SLOTS = 4_096;
    private static final int MAX_RECORDS_PER_READ = 500;
    private static final int MAX_CHECKPOINT_PARTS_PER_READ = 16;
    private static final WriterLimits FLEET_LIMITS = new WriterLimits(1_024, 64);
    private static final WriterLimits CHECKPOINT_LIMITS = new WriterLimits(256, 1);
    private static final WriterLimits CLAIM_LIMITS = new WriterLimits(4, 1);
    private static final LogSnapshot EMPTY_SNAPSHOT =
            new LogSnapshot(
                    new FoldView(FoldState.EMPTY, FoldView.Source.NONE, false, false),
                    DeploymentSettings.EMPTY,
                    -1);

    private final DaemonId mSelf;
    private final LogClient mClient;
    private final LogServiceSettings mSettings;
    private final LogListener mListener;
    private final RandomGenerator mRandom;
    private final TimedTaskLoop mLoop;
    private final FleetStream mFleet;
    private final CheckpointStream mCheckpoints;
    private final ClaimStream mClaims;
    private final ChangeCoordinator mChanges;
    private volatile LogSnapshot mSnapshot = EMPTY_SNAPSHOT;
    private volatile boolean mLogAnswering;
    private boolean mSettingsAnnounced;

    /**
     * Creates a service that is not started yet.
     *
     * @param self this incarnation of the daemon
     * @param client the client of the log
     * @param timer the IO thread that schedules ticks and retries
     * @param clock the clock, which never goes backward and keeps advancing during a suspension
     * @param settings the time and size limits
     * @param listener the receiver of settings and claim decisions
     */
    public LogService(
            final DaemonId self,
            final LogClient client,
            final XnioIoThread timer,
            final InstantSource clock,
            final LogServiceSettings settings,
            final LogListener listener) {
        mSelf = Objects.requireNonNull(self, "self");
        mClient = Objects.requireNonNull(client, "client");
        mSettings = Objects.requireNonNull(settings, "terms");
        mListener = Objects.requireNonNull(listener, "listener");
        mRandom = RandomGenerator.of("L64X128MixRandom");
        mLoop = new TimedTaskLoop(self + "-log", RING_SLOTS, timer, clock, this::afterBatch);
        mFleet =
                new FleetStream(
                        streamClient(FLEET_STREAM, MAX_RECORDS_PER_READ, FLEET_LIMITS),
                        self,
                        settings,
                        mRandom);
        mCheckpoints =
                new CheckpointStream(
                        streamClient(
                                CHECKPOINT_STREAM,
                                MAX_CHECKPOINT_PARTS_PER_READ,
                                CHECKPOINT_LIMITS),
                        settings,
                        state -> mFleet.install(state, FoldView.Source.LOG, clock.instant()));
        mClaims =
                new ClaimStream(
                        streamClient(CLAIM_STREAM, MAX_RECORDS_PER_READ, CLAIM_LIMITS),
                        self,
                        settings,
                        listener);
        mChanges = new ChangeCoordinator(mFleet.client().writer(), settings.changeTimeout());
    }

    private LogStreamClient streamClient(
            final String stream, final int maxRecords, final WriterLimits limits) {
        return new LogStreamClient(
                stream,
                mClient,
                mLoop,
                new LogReader(maxRecords, mSettings.readWait(), backoff()),
                new LogWriter(mSelf, limits, backoff()));
    }

    private WriteBackoff backoff() {
        return new WriteBackoff(FIRST_BACKOFF, MAX_BACKOFF, mRandom);
    }

    /** Starts the thread. */
    public void start() {
        mLoop.start(TICK);
    }

    /** Returns the newest snapshot of the state read from the log; from any thread. */
    public LogSnapshot snapshot() {
        return mSnapshot;
    }

    /** Returns whether the log's last answer was not a failure; from any thread. */
    public boolean isLogAnswering() {
        return mLogAnswering;
    }

    /**
     * Submits a change of settings; from any thread.
     *
     * @param change the change
     * @return the result, completed within {@link LogServiceSettings#changeTimeout()}
     */
    public CompletionStage<ChangeResult> submitChange(final SettingsChange change) {
        final CompletableFuture<ChangeResult> result = new CompletableFuture<>();
        final boolean accepted =
                mLoop.offerNew(
                        now ->
                                mChanges.submit(
                                        change,
                                        result,
                                        mSnapshot,
                                        mFleet.client().isAnswering(),
                                        now));
        if (!accepted) {
            result.complete(ChangeCoordinator.notPublished("too many events are waiting"));
        }
        return result;
    }

    /**
     * Claims the key of a request; the listener receives one decision within the claim timeout.
     *
     * @param request the request
     * @param key the key to claim
     */
    public void claim(final RequestId request, final ClaimKey key) {
        if (!mLoop.offerNew(now -> mClaims.claim(request, key, now))) {
            mListener.claimDecided(request, ClaimOutcome.UNAVAILABLE, Instant.MIN);
        }
    }

    /**
     * Withdraws the claim of a request that was granted and certainly did not run.
     *
     * @param request the request
     */
    public void withdraw(final RequestId request) {
        // If the ring is full, the key stays claimed, and the caller only needs a new key.
        mLoop.offerNew(now -> mClaims.withdraw(request, now));
    }

    /**
     * Installs a state from a peer, for a start while the log is unavailable.
     *
     * @param state the state
     */
    public void installSnapshot(final FoldState state) {
        mLoop.offerNew(now -> mFleet.install(state, FoldView.Source.PEER, now));
    }

    private void afterBatch(final Instant now) {
        mChanges.expirePending(now);
        mCheckpoints.run(
                mFleet.needsCheckpoint(), mFleet.canWriteCheckpoints(now), mFleet.view(), now);
        // The checkpoint is read first, so that a long stream need not be read from its start.
        mFleet.run(mCheckpoints.isInitialReadDone(), now);
        mClaims.run(now);
        mLogAnswering = mFleet.client().isAnswering();
        publish();
    }

    private void publish() {
        final LogSnapshot previous = mSnapshot;
        final FoldView view = mFleet.view();
        if (view == previous.fold()) {
            return;
        }
        final LogSnapshot next = LogSnapshot.of(view, previous);
        mSnapshot = next;
        final boolean changed = next.settings() != previous.settings();
        // Guards against serving with settings that newer records on the log have replaced: no
        // settings are put in force before the head was reached once. A later outage keeps them.
        if (view.caughtUp() && (changed || !mSettingsAnnounced)) {
            mSettingsAnnounced = true;
            mListener.settingsChanged(next);
        }
        mChanges.completeDecided(view.state().settings());
    }

    @Override
    public void close() {
        mLoop.offerNew(mFleet::release);
        mLoop.close();
    }
}
