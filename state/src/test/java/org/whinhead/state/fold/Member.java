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
import org.whinhead.state.StreamPort;
import org.whinhead.state.checkpoint.CheckpointAssembler;
import org.whinhead.state.checkpoint.CheckpointPublisher;
import org.whinhead.state.lease.LeaseKeeper;
import org.whinhead.state.lease.LeaseTerms;
import org.whinhead.state.record.LogEntry;
import org.whinhead.state.record.LogRecord;
import org.whinhead.state.settings.SettingsLedger;
import org.whinhead.state.settings.SettingsState;
import org.whinhead.state.settings.SettingsValidator;

/**
 * One daemon of the fold's tests, with a clock of its own that is wrong and runs at a wrong rate.
 */
final class Member {

    static final String DUTY = "fleet";
    static final LeaseTerms TERMS =
            new LeaseTerms(
                    Duration.ofSeconds(10),
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(3),
                    Duration.ofMillis(500));

    private final FakeLog mFleet;
    private final Instant mStart;
    private final int mClock;
    private final LogFold mFold = newFold();
    private final CheckpointAssembler mAssembler = new CheckpointAssembler();
    private final StreamPort mPort;
    private final StreamPort mCheckpoints;
    private final CheckpointPublisher mPublisher;
    private final LeaseKeeper mKeeper;
    private final Map<String, Long> mRevisions = new HashMap<>();

    Member(final FakeLog fleet, final FakeLog checkpoints, final int number, final int clock) {
        final DaemonId self = new DaemonId("i" + number);
        mFleet = fleet;
        mStart = fleet.now();
        mClock = clock;
        mPort = new StreamPort(fleet, self);
        mCheckpoints = new StreamPort(checkpoints, self);
        mPublisher = new CheckpointPublisher(mCheckpoints.writer(), Duration.ofSeconds(1), 400);
        mKeeper = new LeaseKeeper(DUTY, self, TERMS, mPort.writer(), new SplittableRandom(number));
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
                    public List<String> problems(
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
        return mRevisions;
    }

    Instant now() {
        final long passed = Duration.between(mStart, mFleet.now()).toMillis();
        return mStart.plusSeconds(1_000L * mClock).plusMillis(passed + passed * 4 * mClock / 100);
    }

    boolean mayAct() {
        return mKeeper.mayAct(now());
    }

    void change(final String changeId, final String path, final String author, final String text) {
        final long base = mFold.view().state().settings().revision(path);
        mPort.writer()
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

    void write(final StreamPort.Fate fate) {
        mKeeper.tick(true, now());
        mPort.write(fate, now());
    }

    void release() {
        mKeeper.release(now());
    }

    void read() {
        final boolean usable = mPort.read(now(), this::apply);
        if (usable && mFold.position() == mFleet.all().size() && !mFleet.down()) {
            mFold.reachedHead();
        }
        afterFold();
    }

    private void apply(final LogEntry entry) {
        mFold.apply(entry);
    }

    void publish() {
        mPublisher.tick(mFold.view(), now());
    }

    void checkpoints(final StreamPort.Fate fate) {
        mCheckpoints.write(fate, now());
        mCheckpoints.read(now(), entry -> mAssembler.add((LogRecord.Checkpoint) entry.record()));
        mAssembler.newest().ifPresent(state -> install(state, FoldView.Source.LOG));
    }

    void install(final FoldState state, final FoldView.Source source) {
        if (mFold.install(state, source)) {
            mPort.reader().moveTo(state.asOf());
            state.newest().forEach(mPort.writer()::observed);
            afterFold();
        }
    }

    private void afterFold() {
        mKeeper.observed(Optional.ofNullable(mFold.view().state().leases().get(DUTY)), now());
    }
}
