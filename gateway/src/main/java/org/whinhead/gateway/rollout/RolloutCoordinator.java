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
 * Decides roll-outs while this daemon holds the duties.
 *
 * <p>A holder first reads what the one before has recorded. It records an end before it tells
 * anybody, so that no two holders end an order differently.
 */
final class RolloutCoordinator {

    private static final Logger LOG = LoggerFactory.getLogger(RolloutCoordinator.class);

    /** How long daemons are told of an end; those that miss all of it read the store. */
    private static final Duration END_ANNOUNCED_FOR = Duration.ofSeconds(5);

    /** The least pause between two steps; daemons that hear none for 1.5 s stop the trial. */
    private static final Duration MIN_STEP_INTERVAL = Duration.ofMillis(200);

    /** What each daemon adds to the pause, so that the holder sends a thousand steps a second. */
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
            final Consumer<RolloutStep> tell) {
        mState = state;
        mLimits = limits;
        mStore = store;
        mSendStep = tell;
    }

    void addEvidence(final RolloutEvidence evidence) {
        Optional.ofNullable(mRollouts.get(evidence.service()))
                .ifPresent(held -> held.controller().addEvidence(evidence));
    }

    /** Tells whether there is something left to decide or to tell. */
    boolean hasRollouts() {
        return !mRollouts.isEmpty();
    }

    /** Forgets what was held: another daemon holds the duties. */
    void reset() {
        mRollouts.clear();
        mRecordsRead = false;
        mFencingToken = -1;
    }

    /** Does what is due; to be called some times a second while the duties are held. */
    void tick(final long token, final int daemons) {
        if (token != mFencingToken) {
            reset();
            mFencingToken = token;
            mSequence = 0;
        }
        if (!mRecordsRead) {
            readRecords(token);
            return;
        }
        final Instant now = now();
        mState.rollouts().openOrders().forEach(order -> track(order, now));
        for (final TrackedRollout held : mRollouts.values()) {
            decide(held, now);
            write(held, now);
        }
        sendSteps(token, daemons, now);
        mRollouts.values().removeIf(held -> held.isFinished(END_ANNOUNCED_FOR, now));
    }

    private void readRecords(final long token) {
        if (mCallPending) {
            return;
        }
        mCallPending = true;
        mStore.readRecords()
                .thenCombine(mStore.readStatusEnd(), (records, none) -> records)
                .whenComplete(
                        (records, failure) -> {
                            mCallPending = false;
                            if (failure == null && token == mFencingToken) {
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
        final TrackedRollout held = new TrackedRollout(controller, record);
        held.markRecorded(record);
        if (record.state().isFinal()) {
            controller.adoptFinalState(record.state());
            mState.rollouts().applyRecord(record);
        }
        mRollouts.put(order.service(), held);
        LOG.atInfo()
                .addKeyValue("service", order.service())
                .addKeyValue("version", order.version())
                .addKeyValue("state", record.state())
                .addKeyValue("elapsed", elapsed)
                .log("roll-out taken over");
    }

    private void track(final RolloutOrder order, final Instant now) {
        final TrackedRollout held = mRollouts.get(order.service());
        if (held != null && held.controller().order().offset() == order.offset()) {
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

    private void decide(final TrackedRollout held, final Instant now) {
        final RolloutOrder order = held.controller().order();
        final List<EndpointEntry> usable = mState.endpoints().usable(order.service());
        final int trial =
                (int)
                        usable.stream()
                                .filter(entry -> entry.version().equals(order.version()))
                                .count();
        final RolloutController.Decision decision =
                held.controller()
                        .decide(new RolloutController.Endpoints(usable.size() - trial, trial), now);
        if (held.applyDecision(decision)) {
            final RolloutController.Basis basis = held.controller().basis();
            LOG.atInfo()
                    .addKeyValue("service", order.service())
                    .addKeyValue("version", order.version())
                    .addKeyValue("state", decision.state())
                    .addKeyValue("reason", decision.reason())
                    .addKeyValue("share", decision.share())
                    .addKeyValue("routes", decision.routes())
                    .addKeyValue("endpointsOld", usable.size() - trial)
                    .addKeyValue("endpointsOnTrial", trial)
                    .addKeyValue("requests", basis.requests())
                    .addKeyValue("exposed", basis.exposed())
                    .addKeyValue("answers", basis.answers())
                    .addKeyValue("bad", basis.bad())
                    .addKeyValue("evidence", basis.evidence())
                    .log("roll-out decided");
            mNextStepAt = now;
        }
    }

    /** Records a state first, and tells operators once it is recorded; one call at a time. */
    private void write(final TrackedRollout held, final Instant now) {
        if (mCallPending || (held.isRecorded() && held.isPublished())) {
            return;
        }
        mCallPending = true;
        final RolloutRecord record = held.pendingRecord();
        if (held.isRecorded()) {
            mStore.writeStatus(record)
                    .whenComplete(
                            (newest, failure) ->
                                    handleStatusWritten(held, record, newest, failure));
        } else {
            mStore.writeRecord(record)
                    .whenComplete(
                            (newest, failure) ->
                                    handleRecordWritten(held, record, newest, failure));
        }
    }

    private void handleRecordWritten(
            final TrackedRollout held,
            final RolloutRecord record,
            final Boolean newest,
            final Throwable failure) {
        mCallPending = false;
        if (failure == null && newest) {
            held.markRecorded(record);
            mState.rollouts().applyRecord(record);
            mNextStepAt = Instant.EPOCH;
            write(held, now());
        } else {
            rereadAfterFailure("record of a roll-out not written", record, failure);
        }
    }

    private void handleStatusWritten(
            final TrackedRollout held,
            final RolloutRecord record,
            final Boolean newest,
            final Throwable failure) {
        mCallPending = false;
        if (failure == null && newest) {
            held.markPublished(record, now());
        } else {
            rereadAfterFailure("status of a roll-out not written", record, failure);
        }
    }

    /**
     * Reads both topics again before the next write. A write without an answer may have landed, and
     * another daemon may have written; either way their ends are not known any more.
     */
    private void rereadAfterFailure(
            final String what, final RolloutRecord record, final Throwable failure) {
        LOG.atWarn()
                .addKeyValue("service", record.service())
                .addKeyValue("state", record.state())
                .addKeyValue("cause", failure == null ? "another end" : failure.getMessage())
                .log(what);
        mCallPending = true;
        mStore.readRecords()
                .thenCombine(mStore.readStatusEnd(), (records, none) -> records)
                .whenComplete(
                        (records, again) -> {
                            mCallPending = false;
                            if (again == null) {
                                applyStoredRecords(records);
                            }
                        });
    }

    /** Takes what is recorded as it is: a decision of this daemon that landed, or another one's. */
    private void applyStoredRecords(final Map<String, RolloutRecord> records) {
        for (final TrackedRollout held : mRollouts.values()) {
            final RolloutRecord record = records.get(held.pendingRecord().service());
            if (record != null && record.order() == held.pendingRecord().order()) {
                held.markRecorded(record);
                if (record.state().isFinal()) {
                    held.controller().adoptFinalState(record.state());
                    mState.rollouts().applyRecord(record);
                }
            }
        }
    }

    private void sendSteps(final long token, final int daemons, final Instant now) {
        if (now.isBefore(mNextStepAt)) {
            return;
        }
        final Duration grown = STEP_INTERVAL_PER_DAEMON.multipliedBy(daemons);
        mNextStepAt = now.plus(grown.compareTo(MIN_STEP_INTERVAL) > 0 ? grown : MIN_STEP_INTERVAL);
        for (final TrackedRollout held : mRollouts.values()) {
            mSequence++;
            final RolloutController.Decision decision = held.decision();
            mSendStep.accept(
                    new RolloutStep(
                            held.pendingRecord().service(),
                            held.pendingRecord().order(),
                            token,
                            mSequence,
                            held.announcedState(),
                            decision.share(),
                            decision.routes(),
                            decision.oldStopsIn()));
        }
    }

    private Instant now() {
        return mState.clock().instant();
    }
}
