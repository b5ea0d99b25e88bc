package org.whinhead.state.fold;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.whinhead.api.model.DaemonId;
import org.whinhead.state.FakeLog;
import org.whinhead.state.StreamClient;
import org.whinhead.state.checkpoint.CheckpointAssembler;
import org.whinhead.state.checkpoint.CheckpointPublisher;
import org.whinhead.state.lease.LeaseElector;
import org.whinhead.state.lease.LeaseTiming;
import org.whinhead.state.record.LogEntry;
import org.whinhead.state.record.LogRecord;
import org.whinhead.state.settings.SettingsLedger;
import org.whinhead.state.settings.SettingsState;
import org.whinhead.state.settings.SettingsValidator;

/** A daemon with a fold, whose clock has a constant error and a wrong rate. */
final class FoldDaemon {

    static final String DUTY = "fleet";
    static final LeaseTiming TIMING =
            new LeaseTiming(
                    Duration.ofSeconds(10),
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(3),
                    Duration.ofMillis(500));

    private final FakeLog mFleetLog;
    private final Instant mStart;
    private final int mClockError;
    private final LogFold mFold = newFold();
    private final CheckpointAssembler mAssembler = new CheckpointAssembler();
    private final StreamClient mFleetClient;
    private final StreamClient mCheckpointClient;
    private final CheckpointPublisher mPublisher;
    private final LeaseElector mElector;
    private final Map<String, Long> mLastRevisions = new HashMap<>();

    FoldDaemon(
            final FakeLog fleet,
            final FakeLog checkpoints,
            final int number,
            final int clockError) {
        final DaemonId self = new DaemonId("i" + number);
        mFleetLog = fleet;
        mStart = fleet.now();
        mClockError = clockError;
        mFleetClient = new StreamClient(fleet, self);
        mCheckpointClient = new StreamClient(checkpoints, self);
        mPublisher =
                new CheckpointPublisher(mCheckpointClient.writer(), Duration.ofSeconds(1), 400);
        mElector =
                new LeaseElector(
                        DUTY, self, TIMING, mFleetClient.writer(), new SplittableRandom(number));
    }

    static LogFold newFold() {
        return newFold(2);
    }

    static LogFold newFold(final int newestRules) {
        final SettingsValidator validator =
                new SettingsValidator() {
                    @Override
                    public boolean supports(final int rules) {
                        return rules <= newestRules;
                    }

                    @Override
                    public List<String> findProblems(
                            final int rules,
                            final String path,
                            final Optional<String> document,
                            final SettingsState current) {
                        final boolean bad = document.orElse("").contains("bad");
                        return bad ? List.of(path + ": bad") : List.of();
                    }
                };
        return new LogFold(
                new SettingsLedger(
                        validator,
                        (author, path, current) -> path.startsWith("/" + author),
                        new SettingsLedger.Limits(3, 50)),
                100);
    }

    LogFold fold() {
        return mFold;
    }

    Map<String, Long> lastRevisions() {
        return mLastRevisions;
    }

    Instant now() {
        final long passed = Duration.between(mStart, mFleetLog.now()).toMillis();
        return mStart.plusSeconds(1_000L * mClockError)
                .plusMillis(passed + passed * 4 * mClockError / 100);
    }

    boolean canAct() {
        return mElector.canAct(now());
    }

    void change(final String changeId, final String path, final String author, final String text) {
        final long base = mFold.view().state().settings().revisionNumber(path);
        mFleetClient
                .writer()
                .offer(
                        id ->
                                new LogRecord.SettingChanged(
                                        id,
                                        changeId,
                                        path,
                                        base,
                                        Optional.of(text),
                                        author,
                                        "test",
                                        Instant.EPOCH),
                        now());
    }

    void write(final StreamClient.AppendOutcome outcome) {
        mElector.tick(true, now());
        mFleetClient.write(outcome, now());
    }

    void release() {
        mElector.release(now());
    }

    void read() {
        final boolean usable = mFleetClient.read(now(), this::apply);
        if (usable && mFold.nextOffset() == mFleetLog.allEntries().size() && !mFleetLog.isDown()) {
            mFold.markCaughtUp();
        }
        afterFold();
    }

    private void apply(final LogEntry entry) {
        mFold.apply(entry);
    }

    void publish() {
        mPublisher.publishIfDue(mFold.view(), now());
    }

    void exchangeCheckpoints(final StreamClient.AppendOutcome outcome) {
        mCheckpointClient.write(outcome, now());
        mCheckpointClient.read(
                now(), entry -> mAssembler.addPart((LogRecord.Checkpoint) entry.record()));
        mAssembler.newest().ifPresent(state -> install(state, FoldView.Source.LOG));
    }

    void install(final FoldState state, final FoldView.Source source) {
        if (mFold.installSnapshot(state, source)) {
            mFleetClient.reader().seek(state.asOf());
            state.newest().forEach(mFleetClient.writer()::onRecordRead);
            afterFold();
        }
    }

    private void afterFold() {
        mElector.onLeaseRead(Optional.ofNullable(mFold.view().state().leases().get(DUTY)), now());
    }
}
