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

/** One daemon's shared state: a real fold, checkpoints, and the lease of the fleet's duty. */
final class DaemonState {

    static final String DUTY = "fleet";
    private static final LeaseTiming TERMS =
            new LeaseTiming(
                    Duration.ofSeconds(4),
                    Duration.ofMillis(400),
                    Duration.ofSeconds(1),
                    Duration.ofMillis(300));
    private static final Duration CHECKPOINT_EVERY = Duration.ofSeconds(5);
    private static final int PART_BYTES = 4_000;
    private static final int INCARNATIONS = 1_000;
    private static final SettingsLedger.Limits LIMITS = new SettingsLedger.Limits(8, 500);

    private final LogFold mFold = new LogFold(newLedger(), INCARNATIONS);
    private final CheckpointAssembler mAssembler = new CheckpointAssembler();
    private final LogClient mFleet;
    private final LogClient mCheckpoints;
    private final CheckpointPublisher mPublisher;
    private final LeaseElector mKeeper;

    DaemonState(
            final FakeLog log, final DaemonId self, final FakeProcess process, final long seed) {
        mFleet = new LogClient(log, FakeLog.FLEET, self, process, this::read, oldest -> {});
        mFleet.whenAtHead(this::atHead);
        mCheckpoints =
                new LogClient(
                        log,
                        FakeLog.CHECKPOINTS,
                        self,
                        process,
                        this::readCheckpoint,
                        this::checkpointsExpired);
        mPublisher = new CheckpointPublisher(mCheckpoints.writer(), CHECKPOINT_EVERY, PART_BYTES);
        mKeeper = new LeaseElector(DUTY, self, TERMS, mFleet.writer(), new SplittableRandom(seed));
    }

    static SettingsLedger newLedger() {
        return new SettingsLedger(
                new AnyDocument(),
                (author, path, current) -> path.startsWith("/" + author + "/"),
                LIMITS);
    }

    FoldView view() {
        return mFold.view();
    }

    LeaseElector keeper() {
        return mKeeper;
    }

    LogClient log() {
        return mFleet;
    }

    /** Takes a peer's state, as a daemon does that starts while the log is out. */
    void startFrom(final FoldView peer, final Instant now) {
        if (peer.source() != FoldView.Source.NONE) {
            install(new Installed(peer, FoldView.Source.PEER), now);
        }
    }

    void tick(final Instant now) {
        mKeeper.tick(true, now);
        if (mKeeper.canAct(now)) {
            mPublisher.publishIfDue(mFold.view(), now);
        }
        mFleet.pump(now);
        mCheckpoints.pump(now);
    }

    private void read(final LogEntry entry, final Instant now) {
        if (mFold.apply(entry) == LogFold.ApplyResult.GAP) {
            mFleet.reader().seek(mFold.nextOffset());
        }
        afterFold(now);
    }

    private void atHead() {
        if (mFold.nextOffset() == mFleet.reader().nextOffset()) {
            mFold.markCaughtUp();
        }
    }

    private void readCheckpoint(final LogEntry entry, final Instant now) {
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

    private void checkpointsExpired(final long oldest) {
        mCheckpoints.reader().seek(oldest);
    }

    private void install(final Installed installed, final Instant now) {
        if (mFold.installSnapshot(installed.view().state(), installed.source())) {
            mFleet.reader().seek(mFold.nextOffset());
            installed.view().state().newest().forEach(mFleet.writer()::onRecordRead);
            afterFold(now);
        }
    }

    private void afterFold(final Instant now) {
        mKeeper.onLeaseRead(Optional.ofNullable(mFold.view().state().leases().get(DUTY)), now);
    }

    private record Installed(FoldView view, FoldView.Source source) {}

    /** Knows one version of the rules, by which only one word is wrong. */
    private static final class AnyDocument implements SettingsValidator {

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
