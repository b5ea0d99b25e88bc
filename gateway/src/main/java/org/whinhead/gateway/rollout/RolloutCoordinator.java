package org.whinhead.gateway.rollout;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.rollout.RolloutController;
import org.whinhead.serving.rollout.RolloutEvidence;
import org.whinhead.serving.rollout.RolloutLimits;
import org.whinhead.serving.rollout.RolloutOrder;
import org.whinhead.serving.rollout.RolloutRecord;
import org.whinhead.serving.rollout.RolloutState;
import org.whinhead.serving.rollout.RolloutStep;

/**
 * Coordinates rollouts while this daemon holds the lease.
 *
 * <p>A lease holder first reads the records of its predecessor. It records a final state before it
 * announces it, so that no two holders end an order differently.
 */
final class RolloutCoordinator {

    private static final Logger LOG = LoggerFactory.getLogger(RolloutCoordinator.class);

    /** Time for which a final state is announced; daemons that miss it read the store. */
    private static final Duration END_ANNOUNCED_FOR = Duration.ofSeconds(5);

    /**
     * Minimum interval between two steps; a daemon that receives no step for 1.5 s stops the trial.
     */
    private static final Duration MIN_STEP_INTERVAL = Duration.ofMillis(200);

    /** Interval per known daemon, so that the holder sends at most a thousand steps a second. */
    private static final Duration STEP_INTERVAL_PER_DAEMON = Duration.ofMillis(1);

    private final ServingState mState;
    private final RolloutLimits mLimits;
    private final RolloutStore mStore;
    private final Consumer<RolloutStep> mSendStep;
    private final Map<String, TrackedRollout> mRollouts = new HashMap<>();
    private long mFencingToken = -1;
    private boolean mRecordsRead;
    private boolean mCallPending;
    private long mSequence;
    private Instant mNextStepAt = Instant.EPOCH;

    RolloutCoordinator(
            final ServingState state,
            final RolloutLimits limits,
            final RolloutStore store,
            final Consumer<RolloutStep> sendStep) {
        mState = state;
        mLimits = limits;
        mStore = store;
        mSendStep = sendStep;
    }

    void addEvidence(final RolloutEvidence evidence) {
        Optional.ofNullable(mRollouts.get(evidence.service()))
                .ifPresent(rollout -> rollout.controller().addEvidence(evidence));
    }

    /** Returns whether any rollout is left to decide or to announce. */
    boolean hasRollouts() {
        return !mRollouts.isEmpty();
    }

    /** Clears all rollouts, as another daemon holds the lease. */
    void reset() {
        mRollouts.clear();
        mRecordsRead = false;
        mFencingToken = -1;
    }

    /** Performs the work that is due; called several times a second by the lease holder. */
    void tick(final long fencingToken, final int daemons) {
        if (fencingToken != mFencingToken) {
            reset();
            mFencingToken = fencingToken;
            mSequence = 0;
        }
        if (!mRecordsRead) {
            readRecords(fencingToken);
            return;
        }
        final Instant now = now();
        mState.rollouts().openOrders().forEach(order -> track(order, now));
        for (final TrackedRollout rollout : mRollouts.values()) {
            decide(rollout, now);
            write(rollout, now);
        }
        sendSteps(fencingToken, daemons, now);
        mRollouts.values().removeIf(rollout -> rollout.isFinished(END_ANNOUNCED_FOR, now));
    }

    private void readRecords(final long fencingToken) {
        if (mCallPending) {
            return;
        }
        mCallPending = true;
        mStore.readRecords()
                .thenCombine(mStore.readStatusEnd(), (records, none) -> records)
                .whenComplete(
                        (records, failure) -> {
                            mCallPending = false;
                            if (failure == null && fencingToken == mFencingToken) {
                                resume(records);
                            }
                        });
    }

    private void resume(final Map<String, RolloutRecord> records) {
        mRecordsRead = true;
        final Instant now = now();
        for (final RolloutOrder order : mState.rollouts().openOrders()) {
            final RolloutRecord record = records.get(order.service());
            if (record != null && record.order() == order.offset()) {
                resume(order, record, now);
            }
        }
    }

    private void resume(final RolloutOrder order, final RolloutRecord record, final Instant now) {
        final Duration since = Duration.between(record.startedAt(), mState.timeOfDay().instant());
        final Duration elapsed = since.isNegative() ? Duration.ZERO : since;
        final RolloutController controller =
                new RolloutController(order, mLimits, now.minus(elapsed), now);
        final TrackedRollout rollout = new TrackedRollout(controller, record);
        rollout.markRecorded(record);
        if (record.state().isFinal()) {
            controller.adoptFinalState(record.state());
            mState.rollouts().applyRecord(record);
        }
        mRollouts.put(order.service(), rollout);
        LOG.atInfo()
                .addKeyValue("service", order.service())
                .addKeyValue("version", order.version())
                .addKeyValue("state", record.state())
                .addKeyValue("elapsed", elapsed)
                .log("roll-out taken over");
    }

    private void track(final RolloutOrder order, final Instant now) {
        final TrackedRollout rollout = mRollouts.get(order.service());
        if (rollout != null && rollout.controller().order().offset() == order.offset()) {
            return;
        }
        mRollouts.put(
                order.service(),
                new TrackedRollout(
                        new RolloutController(order, mLimits, now, now),
                        new RolloutRecord(
                                order.service(),
                                order.version(),
                                order.offset(),
                                mState.timeOfDay().instant(),
                                RolloutState.RUNNING)));
    }

    private void decide(final TrackedRollout rollout, final Instant now) {
        final RolloutOrder order = rollout.controller().order();
        final List<EndpointEntry> usable = mState.endpoints().usable(order.service());
        final int onTrial =
                (int)
                        usable.stream()
                                .filter(entry -> entry.version().equals(order.version()))
                                .count();
        final RolloutController.Decision decision =
                rollout.controller()
                        .decide(
                                new RolloutController.Endpoints(usable.size() - onTrial, onTrial),
                                now);
        if (rollout.applyDecision(decision)) {
            final RolloutController.Basis basis = rollout.controller().basis();
            LOG.atInfo()
                    .addKeyValue("service", order.service())
                    .addKeyValue("version", order.version())
                    .addKeyValue("state", decision.state())
                    .addKeyValue("reason", decision.reason())
                    .addKeyValue("share", decision.share())
                    .addKeyValue("routes", decision.routes())
                    .addKeyValue("endpointsOld", usable.size() - onTrial)
                    .addKeyValue("endpointsOnTrial", onTrial)
                    .addKeyValue("requests", basis.requests())
                    .addKeyValue("exposed", basis.exposed())
                    .addKeyValue("answers", basis.answers())
                    .addKeyValue("bad", basis.bad())
                    .addKeyValue("evidence", basis.evidence())
                    .log("roll-out decided");
            mNextStepAt = now;
        }
    }

    /** Records the state first, then publishes it to operators; one call at a time. */
    private void write(final TrackedRollout rollout, final Instant now) {
        if (mCallPending || (rollout.isRecorded() && rollout.isPublished())) {
            return;
        }
        mCallPending = true;
        final RolloutRecord record = rollout.pendingRecord();
        if (rollout.isRecorded()) {
            mStore.writeStatus(record)
                    .whenComplete(
                            (newest, failure) ->
                                    handleStatusWritten(rollout, record, newest, failure));
        } else {
            mStore.writeRecord(record)
                    .whenComplete(
                            (newest, failure) ->
                                    handleRecordWritten(rollout, record, newest, failure));
        }
    }

    private void handleRecordWritten(
            final TrackedRollout rollout,
            final RolloutRecord record,
            final Boolean newest,
            final Throwable failure) {
        mCallPending = false;
        if (failure == null && newest) {
            rollout.markRecorded(record);
            mState.rollouts().applyRecord(record);
            mNextStepAt = Instant.EPOCH;
            write(rollout, now());
        } else {
            rereadAfterFailure("record of a roll-out not written", record, failure);
        }
    }

    private void handleStatusWritten(
            final TrackedRollout rollout,
            final RolloutRecord record,
            final Boolean newest,
            final Throwable failure) {
        mCallPending = false;
        if (failure == null && newest) {
            rollout.markPublished(record, now());
        } else {
            rereadAfterFailure("status of a roll-out not written", record, failure);
        }
    }

    /**
     * Reads both topics again before the next write. A write without an answer may have been
     * carried out, and another daemon may have written; either way the ends of the topics are
     * unknown.
     */
    private void rereadAfterFailure(
            final String event, final RolloutRecord record, final Throwable failure) {
        LOG.atWarn()
                .addKeyValue("service", record.service())
                .addKeyValue("state", record.state())
                .addKeyValue(
                        "cause", failure == null ? "topic has another end" : failure.getMessage())
                .log(event);
        mCallPending = true;
        mStore.readRecords()
                .thenCombine(mStore.readStatusEnd(), (records, none) -> records)
                .whenComplete(
                        (records, rereadFailure) -> {
                            mCallPending = false;
                            if (rereadFailure == null) {
                                applyStoredRecords(records);
                            }
                        });
    }

    /** Adopts the stored records, written by this daemon or by another one. */
    private void applyStoredRecords(final Map<String, RolloutRecord> records) {
        for (final TrackedRollout rollout : mRollouts.values()) {
            final RolloutRecord record = records.get(rollout.pendingRecord().service());
            if (record != null && record.order() == rollout.pendingRecord().order()) {
                rollout.markRecorded(record);
                if (record.state().isFinal()) {
                    rollout.controller().adoptFinalState(record.state());
                    mState.rollouts().applyRecord(record);
                }
            }
        }
    }

    private void sendSteps(final long fencingToken, final int daemons, final Instant now) {
        if (now.isBefore(mNextStepAt)) {
            return;
        }
        final Duration interval = STEP_INTERVAL_PER_DAEMON.multipliedBy(daemons);
        mNextStepAt =
                now.plus(interval.compareTo(MIN_STEP_INTERVAL) > 0 ? interval : MIN_STEP_INTERVAL);
        for (final TrackedRollout rollout : mRollouts.values()) {
            mSequence++;
            final RolloutController.Decision decision = rollout.decision();
            mSendStep.accept(
                    new RolloutStep(
                            rollout.pendingRecord().service(),
                            rollout.pendingRecord().order(),
                            fencingToken,
                            mSequence,
                            rollout.announcedState(),
                            decision.share(),
                            decision.routes(),
                            decision.oldStopsIn()));
        }
    }

    private Instant now() {
        return mState.clock().instant();
    }
}
