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
final class RolloutHolder {

    private static final Logger LOG = LoggerFactory.getLogger(RolloutHolder.class);

    /** How long daemons are told of an end; those that miss all of it read the store. */
    private static final Duration END_TOLD_FOR = Duration.ofSeconds(5);

    /** The least pause between two steps; daemons that hear none for 1.5 s stop the trial. */
    private static final Duration LEAST_PACE = Duration.ofMillis(200);

    /** What each daemon adds to the pause, so that the holder sends a thousand steps a second. */
    private static final Duration PACE_PER_DAEMON = Duration.ofMillis(1);

    private final ServingState mState;
    private final RolloutLimits mLimits;
    private final RolloutStore mStore;
    private final Consumer<RolloutStep> mTell;
    private final Map<String, HeldRollout> mHeld = new HashMap<>();
    private long mToken = -1;
    private boolean mRead;
    private boolean mBusy;
    private long mSequence;
    private Instant mNextStep = Instant.EPOCH;

    RolloutHolder(
            final ServingState state,
            final RolloutLimits limits,
            final RolloutStore store,
            final Consumer<RolloutStep> tell) {
        mState = state;
        mLimits = limits;
        mStore = store;
        mTell = tell;
    }

    void evidence(final RolloutEvidence evidence) {
        Optional.ofNullable(mHeld.get(evidence.service()))
                .ifPresent(held -> held.controller().addEvidence(evidence));
    }

    /** Tells whether there is something left to decide or to tell. */
    boolean isBusy() {
        return !mHeld.isEmpty();
    }

    /** Forgets what was held: another daemon holds the duties. */
    void lost() {
        mHeld.clear();
        mRead = false;
        mToken = -1;
    }

    /** Does what is due; to be called some times a second while the duties are held. */
    void tick(final long token, final int daemons) {
        if (token != mToken) {
            lost();
            mToken = token;
            mSequence = 0;
        }
        if (!mRead) {
            read(token);
            return;
        }
        final Instant now = now();
        mState.rollouts().openOrders().forEach(order -> hold(order, now));
        for (final HeldRollout held : mHeld.values()) {
            decide(held, now);
            write(held, now);
        }
        tell(token, daemons, now);
        mHeld.values().removeIf(held -> held.isOver(END_TOLD_FOR, now));
    }

    private void read(final long token) {
        if (mBusy) {
            return;
        }
        mBusy = true;
        mStore.read()
                .thenCombine(mStore.readStatusEnd(), (records, none) -> records)
                .whenComplete(
                        (records, failure) -> {
                            mBusy = false;
                            if (failure == null && token == mToken) {
                                resume(records);
                            }
                        });
    }

    private void resume(final Map<String, RolloutRecord> records) {
        mRead = true;
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
        final HeldRollout held = new HeldRollout(controller, record);
        held.recorded(record);
        if (record.state().isFinal()) {
            controller.adoptFinalState(record.state());
            mState.rollouts().applyRecord(record);
        }
        mHeld.put(order.service(), held);
        LOG.atInfo()
                .addKeyValue("service", order.service())
                .addKeyValue("version", order.version())
                .addKeyValue("state", record.state())
                .addKeyValue("elapsed", elapsed)
                .log("roll-out taken over");
    }

    private void hold(final RolloutOrder order, final Instant now) {
        final HeldRollout held = mHeld.get(order.service());
        if (held != null && held.controller().order().offset() == order.offset()) {
            return;
        }
        mHeld.put(
                order.service(),
                new HeldRollout(
                        new RolloutController(order, mLimits, now, now),
                        new RolloutRecord(
                                order.service(),
                                order.version(),
                                order.offset(),
                                mState.timeOfDay().instant(),
                                RolloutState.RUNNING)));
    }

    private void decide(final HeldRollout held, final Instant now) {
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
        if (held.decided(decision)) {
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
            mNextStep = now;
        }
    }

    /** Records a state first, and tells operators once it is recorded; one call at a time. */
    private void write(final HeldRollout held, final Instant now) {
        if (mBusy || (held.isRecorded() && held.isTold())) {
            return;
        }
        mBusy = true;
        final RolloutRecord record = held.wanted();
        if (held.isRecorded()) {
            mStore.status(record)
                    .whenComplete(
                            (newest, failure) -> toldOperators(held, record, newest, failure));
        } else {
            mStore.record(record)
                    .whenComplete((newest, failure) -> recorded(held, record, newest, failure));
        }
    }

    private void recorded(
            final HeldRollout held,
            final RolloutRecord record,
            final Boolean newest,
            final Throwable failure) {
        mBusy = false;
        if (failure == null && newest) {
            held.recorded(record);
            mState.rollouts().applyRecord(record);
            mNextStep = Instant.EPOCH;
            write(held, now());
        } else {
            readAgain("record of a roll-out not written", record, failure);
        }
    }

    private void toldOperators(
            final HeldRollout held,
            final RolloutRecord record,
            final Boolean newest,
            final Throwable failure) {
        mBusy = false;
        if (failure == null && newest) {
            held.told(record, now());
        } else {
            readAgain("status of a roll-out not written", record, failure);
        }
    }

    /**
     * Reads both topics again before the next write. A write without an answer may have landed, and
     * another daemon may have written; either way their ends are not known any more.
     */
    private void readAgain(final String what, final RolloutRecord record, final Throwable failure) {
        LOG.atWarn()
                .addKeyValue("service", record.service())
                .addKeyValue("state", record.state())
                .addKeyValue("cause", failure == null ? "another end" : failure.getMessage())
                .log(what);
        mBusy = true;
        mStore.read()
                .thenCombine(mStore.readStatusEnd(), (records, none) -> records)
                .whenComplete(
                        (records, again) -> {
                            mBusy = false;
                            if (again == null) {
                                compare(records);
                            }
                        });
    }

    /** Takes what is recorded as it is: a decision of this daemon that landed, or another one's. */
    private void compare(final Map<String, RolloutRecord> records) {
        for (final HeldRollout held : mHeld.values()) {
            final RolloutRecord record = records.get(held.wanted().service());
            if (record != null && record.order() == held.wanted().order()) {
                held.recorded(record);
                if (record.state().isFinal()) {
                    held.controller().adoptFinalState(record.state());
                    mState.rollouts().applyRecord(record);
                }
            }
        }
    }

    private void tell(final long token, final int daemons, final Instant now) {
        if (now.isBefore(mNextStep)) {
            return;
        }
        final Duration grown = PACE_PER_DAEMON.multipliedBy(daemons);
        mNextStep = now.plus(grown.compareTo(LEAST_PACE) > 0 ? grown : LEAST_PACE);
        for (final HeldRollout held : mHeld.values()) {
            mSequence++;
            final RolloutController.Decision decision = held.decision();
            mTell.accept(
                    new RolloutStep(
                            held.wanted().service(),
                            held.wanted().order(),
                            token,
                            mSequence,
                            held.tellable(),
                            decision.share(),
                            decision.routes(),
                            decision.oldStopsIn()));
        }
    }

    private Instant now() {
        return mState.clock().instant();
    }
}
