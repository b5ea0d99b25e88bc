package org.whinhead.faults.world;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.whinhead.api.model.DaemonId;
import org.whinhead.state.checkpoint.CheckpointAssembler;
import org.whinhead.state.checkpoint.CheckpointPublisher;
import org.whinhead.state.fold.FoldView;
import org.whinhead.state.fold.LogFold;
import org.whinhead.state.lease.LeaseElector;
import org.whinhead.state.lease.LeaseTiming;
import org.whinhead.state.record.LogEntry;
import org.whinhead.state.record.LogRecord;
import org.whinhead.state.settings.SettingsLedger;
import org.whinhead.state.settings.SettingsState;
import org.whinhead.state.settings.SettingsValidator;

/** One daemon's replicated state: the real log fold, checkpoints and the election for the fleet. */
final class DaemonState {

    /** The name of the fleet's lease, under which its orders are noted. */
    static final String DUTY = "fleet";

    private static final LeaseTiming LEASE_TIMING =
            new LeaseTiming(
                    Duration.ofSeconds(4),
                    Duration.ofMillis(400),
                    Duration.ofSeconds(1),
                    Duration.ofMillis(300));
    private static final Duration CHECKPOINT_INTERVAL = Duration.ofSeconds(5);
    private static final int CHECKPOINT_PART_BYTES = 4_000;
    private static final int MAX_INCARNATIONS = 1_000;
    private static final SettingsLedger.Limits LIMITS = new SettingsLedger.Limits(8, 500);

    private final LogFold mFold = new LogFold(newLedger(), MAX_INCARNATIONS);
    private final CheckpointAssembler mAssembler = new CheckpointAssembler();
    private final PausableLogClient mFleetLog;
    private final PausableLogClient mCheckpointLog;
    private final CheckpointPublisher mPublisher;
    private final LeaseElector mElector;

    DaemonState(
            final FakeLog log, final DaemonId self, final FakeProcess process, final long seed) {
        mFleetLog =
                new PausableLogClient(
                        log, FakeLog.FLEET, self, process, this::onFleetRecord, oldest -> {});
        mFleetLog.setHeadListener(this::onHeadReached);
        mCheckpointLog =
                new PausableLogClient(
                        log,
                        FakeLog.CHECKPOINTS,
                        self,
                        process,
                        this::onCheckpointRecord,
                        this::onCheckpointsExpired);
        mPublisher =
                new CheckpointPublisher(
                        mCheckpointLog.writer(), CHECKPOINT_INTERVAL, CHECKPOINT_PART_BYTES);
        mElector =
                new LeaseElector(
                        DUTY, self, LEASE_TIMING, mFleetLog.writer(), new SplittableRandom(seed));
    }

    static SettingsLedger newLedger() {
        return new SettingsLedger(
                new FakeValidator(),
                (author, path, current) -> path.startsWith("/" + author + "/"),
                LIMITS);
    }

    FoldView view() {
        return mFold.view();
    }

    LeaseElector elector() {
        return mElector;
    }

    PausableLogClient log() {
        return mFleetLog;
    }

    /** Installs a peer's state, as a daemon does that starts during a log outage. */
    void installFromPeer(final FoldView peer, final Instant now) {
        if (peer.source() != FoldView.Source.NONE) {
            install(new Installed(peer, FoldView.Source.PEER), now);
        }
    }

    void tick(final Instant now) {
        mElector.tick(true, now);
        if (mElector.canAct(now)) {
            mPublisher.publishIfDue(mFold.view(), now);
        }
        mFleetLog.sendDue(now);
        mCheckpointLog.sendDue(now);
    }

    private void onFleetRecord(final LogEntry entry, final Instant now) {
        if (mFold.apply(entry) == LogFold.ApplyResult.GAP) {
            mFleetLog.reader().seek(mFold.nextOffset());
        }
        updateLease(now);
    }

    private void onHeadReached() {
        if (mFold.nextOffset() == mFleetLog.reader().nextOffset()) {
            mFold.markCaughtUp();
        }
    }

    private void onCheckpointRecord(final LogEntry entry, final Instant now) {
        mAssembler.addPart((LogRecord.Checkpoint) entry.record());
        mAssembler
                .newest()
                .ifPresent(
                        state -> {
                            mPublisher.onCheckpointRead(state.asOf(), now);
                            final FoldView view =
                                    new FoldView(state, FoldView.Source.LOG, false, false);
                            install(new Installed(view, FoldView.Source.LOG), now);
                        });
    }

    private void onCheckpointsExpired(final long oldest) {
        mCheckpointLog.reader().seek(oldest);
    }

    private void install(final Installed installed, final Instant now) {
        if (mFold.installSnapshot(installed.view().state(), installed.source())) {
            mFleetLog.reader().seek(mFold.nextOffset());
            installed.view().state().newest().forEach(mFleetLog.writer()::onRecordRead);
            updateLease(now);
        }
    }

    private void updateLease(final Instant now) {
        mElector.onLeaseRead(Optional.ofNullable(mFold.view().state().leases().get(DUTY)), now);
    }

    private record Installed(FoldView view, FoldView.Source source) {}

    /** Supports rules version 1 only and rejects documents that contain "wrong". */
    private static final class FakeValidator implements SettingsValidator {

        @Override
        public boolean supports(final int rules) {
            return rules == 1;
        }

        @Override
        public List<String> findProblems(
                final int rules,
                final String path,
                final Optional<String> document,
                final SettingsState current) {
            return document.orElse("").contains("wrong") ? List.of(path) : List.of();
        }
    }
}
