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

/** Folds the fleet stream and renews the checkpoint writer's lease; on the log thread. */
final class FleetStream implements StreamHandler {

    private final LogStreamClient mClient;
    private final LogFold mFold =
            new LogFold(
                    // The author's permission is checked against the daemon's own settings file
                    // before a change is published, so the fold accepts any author.
                    new SettingsLedger(
                            new FoldSettingsValidator(),
                            (author, path, current) -> true,
                            SettingsLedger.Limits.DEFAULT),
                    RecordDeduplicator.DEFAULT_MAX_INCARNATIONS);
    private final LeaseElector mCheckpointLease;

    FleetStream(
            final LogStreamClient client,
            final DaemonId self,
            final LogServiceSettings settings,
            final RandomGenerator random) {
        mClient = client;
        mCheckpointLease =
                new LeaseElector(
                        CheckpointPublisher.DUTY, self, settings.leases(), client.writer(), random);
        client.setHandler(this);
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
        // A daemon that has not reached the head cannot know whether the lease is free.
        mCheckpointLease.tick(view.caughtUp() && !view.blocked(), now);
        mClient.sendDue(reading, now);
    }

    /** Releases the checkpoint lease, so that another daemon need not wait until it expires. */
    void release(final Instant now) {
        mCheckpointLease.release(now);
        mClient.sendDue(false, now);
    }

    @Override
    public void onRecords(final List<LogEntry> entries, final boolean atHead, final Instant now) {
        boolean allApplied = true;
        for (final LogEntry entry : entries) {
            final LogFold.ApplyResult applied = mFold.apply(entry);
            allApplied &=
                    applied != LogFold.ApplyResult.GAP && applied != LogFold.ApplyResult.BLOCKED;
        }
        if (!allApplied) {
            mClient.reader().seek(mFold.nextOffset());
        } else if (atHead) {
            mFold.markCaughtUp();
        }
        observeLease(now);
    }

    @Override
    public void onExpired(final long oldest, final Instant now) {
        // No action: the reader now reports that it needs a checkpoint.
    }

    /** Replaces the state by one as of a higher offset and continues reading there. */
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
