package org.whinhead.daemon.log;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.whinhead.api.model.DaemonId;
import org.whinhead.state.checkpoint.CheckpointPublisher;
import org.whinhead.state.fold.FoldState;
import org.whinhead.state.fold.FoldView;
import org.whinhead.state.fold.LogFold;
import org.whinhead.state.fold.RecordDeduplicator;
import org.whinhead.state.lease.LeaseElector;
import org.whinhead.state.record.LogEntry;
import org.whinhead.state.settings.SettingsLedger;

/** Folds the fleet stream and keeps the checkpoint duty's lease; on the duty's thread. */
final class FleetStream implements StreamHandler {

    private final LogStreamClient mClient;
    private final LogFold mFold =
            new LogFold(
                    // Who may change which path is checked against the daemon's own settings file
                    // before a change is published, so the fold takes any author.
                    new SettingsLedger(
                            new FoldSettingsValidator(),
                            (author, path, current) -> true,
                            SettingsLedger.Limits.DEFAULT),
                    RecordDeduplicator.DEFAULT_MAX_INCARNATIONS);
    private final LeaseElector mCheckpointLease;

    FleetStream(
            final LogStreamClient pump,
            final DaemonId self,
            final LogServiceSettings terms,
            final RandomGenerator random) {
        mClient = pump;
        mCheckpointLease =
                new LeaseElector(
                        CheckpointPublisher.DUTY, self, terms.leases(), pump.writer(), random);
        pump.setHandler(this);
    }

    FoldView view() {
        return mFold.view();
    }

    LogStreamClient client() {
        return mClient;
    }

    boolean needsCheckpoint() {
        return mClient.reader().needsCheckpoint();
    }

    boolean canWriteCheckpoints(final Instant now) {
        return mCheckpointLease.canAct(now);
    }

    void run(final boolean reading, final Instant now) {
        final FoldView view = mFold.view();
        // A daemon that does not know the head cannot tell whether a lease is free.
        mCheckpointLease.tick(view.caughtUp() && !view.blocked(), now);
        mClient.sendDue(reading, now);
    }

    /** Gives the duty up, so that another daemon need not wait for the lease's end. */
    void release(final Instant now) {
        mCheckpointLease.release(now);
        mClient.sendDue(false, now);
    }

    @Override
    public void onRecords(final List<LogEntry> entries, final boolean atHead, final Instant now) {
        boolean whole = true;
        for (final LogEntry entry : entries) {
            final LogFold.ApplyResult applied = mFold.apply(entry);
            whole &= applied != LogFold.ApplyResult.GAP && applied != LogFold.ApplyResult.BLOCKED;
        }
        if (!whole) {
            mClient.reader().seek(mFold.nextOffset());
        } else if (atHead) {
            mFold.markCaughtUp();
        }
        observeLease(now);
    }

    @Override
    public void onExpired(final long oldest, final Instant now) {
        // Nothing to do: the reader now asks for a checkpoint.
    }

    /** Goes on from a state as of a higher offset. */
    void install(final FoldState state, final FoldView.Source source, final Instant now) {
        if (mFold.installSnapshot(state, source)) {
            mClient.reader().seek(state.asOf());
            state.newest().forEach(mClient.writer()::onRecordRead);
            observeLease(now);
        }
    }

    private void observeLease(final Instant now) {
        mCheckpointLease.onLeaseRead(
                Optional.ofNullable(mFold.view().state().leases().get(CheckpointPublisher.DUTY)),
                now);
    }
}
