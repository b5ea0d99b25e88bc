package org.whinhead.faults.world;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.whinhead.state.record.LogRecord;
import org.whinhead.state.settings.ChangeOutcome;

/** Operators that change settings through any daemon and resubmit a change without an outcome. */
public final class FakeOperator {

    private static final int POLL_MILLIS = 100;
    private static final int MAX_WAIT_MILLIS = 3_000;

    private final FakeWorld mWorld;
    private final List<Change> mChanges = new ArrayList<>();

    FakeOperator(final FakeWorld world) {
        mWorld = world;
    }

    /** Submits a change based on a random daemon's revision; does nothing without a daemon. */
    public void change(final String author, final String path, final String text) {
        final Optional<FakeDaemon> daemon = mWorld.randomAcceptingDaemon();
        if (daemon.isEmpty()) {
            return;
        }
        final long base = daemon.get().state().view().state().settings().revisionNumber(path);
        final String name = "change-" + mChanges.size();
        final Change change = new Change(name, author, path, base, text, mWorld.clock().now());
        mChanges.add(change);
        submit(change, daemon.get());
    }

    /** Returns the submitted changes. */
    public List<Change> changes() {
        return List.copyOf(mChanges);
    }

    boolean isIdle() {
        return mChanges.stream().allMatch(change -> change.outcome().isPresent());
    }

    private void submit(final Change change, final FakeDaemon daemon) {
        daemon.changeSetting(change);
        final Instant until = mWorld.clock().now().plusMillis(MAX_WAIT_MILLIS);
        mWorld.clock().schedule(POLL_MILLIS, () -> pollOutcome(change, daemon, until));
    }

    private void pollOutcome(final Change change, final FakeDaemon daemon, final Instant until) {
        if (daemon.isAlive()) {
            final Optional<ChangeOutcome> outcome =
                    daemon.state().view().state().settings().outcome(change.name());
            if (outcome.isPresent()) {
                change.setOutcome(outcome.get());
                return;
            }
        }
        if (daemon.isAlive() && mWorld.clock().now().isBefore(until)) {
            mWorld.clock().schedule(POLL_MILLIS, () -> pollOutcome(change, daemon, until));
        } else {
            mWorld.randomAcceptingDaemon()
                    .ifPresentOrElse(
                            next -> submit(change, next),
                            () ->
                                    mWorld.clock()
                                            .schedule(
                                                    POLL_MILLIS,
                                                    () -> pollOutcome(change, daemon, until)));
        }
    }

    /** A settings change and the outcome reported to its operator. */
    public static final class Change {

        private final String mName;
        private final String mAuthor;
        private final String mPath;
        private final long mBaseRevision;
        private final String mText;
        private final Instant mAt;
        private Optional<ChangeOutcome> mOutcome = Optional.empty();

        Change(
                final String name,
                final String author,
                final String path,
                final long base,
                final String text,
                final Instant at) {
            mName = name;
            mAuthor = author;
            mPath = path;
            mBaseRevision = base;
            mText = text;
            mAt = at;
        }

        public String name() {
            return mName;
        }

        public String path() {
            return mPath;
        }

        public Optional<ChangeOutcome> outcome() {
            return mOutcome;
        }

        void setOutcome(final ChangeOutcome outcome) {
            mOutcome = Optional.of(outcome);
        }

        void appendTo(final PausableLogClient log, final Instant now) {
            log.writer()
                    .offer(
                            id ->
                                    new LogRecord.SettingChanged(
                                            id,
                                            mName,
                                            mPath,
                                            mBaseRevision,
                                            Optional.of(mText),
                                            mAuthor,
                                            "fake",
                                            mAt),
                            now);
        }
    }
}
