package org.whinhead.daemon.log;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.whinhead.state.checkpoint.CheckpointAssembler;
import org.whinhead.state.checkpoint.CheckpointPublisher;
import org.whinhead.state.fold.FoldState;
import org.whinhead.state.fold.FoldView;
import org.whinhead.state.record.LogEntry;
import org.whinhead.state.record.LogRecord;

/**
 * Reads and writes checkpoints; on the log thread.
 *
 * <p>A daemon reads the stream only when it starts, when its position in the fleet stream has
 * expired, or while it holds the lease of the checkpoint writer.
 */
final class CheckpointStream implements StreamHandler {

    private static final int PART_BYTES = 256 * 1024;

    private final LogStreamClient mClient;
    private final CheckpointAssembler mAssembler = new CheckpointAssembler();
    private final CheckpointPublisher mPublisher;
    private final Consumer<FoldState> mInstall;
    private boolean mInitialReadDone;

    CheckpointStream(
            final LogStreamClient client,
            final LogServiceSettings settings,
            final Consumer<FoldState> install) {
        mClient = client;
        mPublisher =
                new CheckpointPublisher(client.writer(), settings.checkpointEvery(), PART_BYTES);
        mInstall = install;
        client.setHandler(this);
    }

    /** Returns whether the stream was read to its head once and its newest checkpoint installed. */
    boolean isInitialReadDone() {
        return mInitialReadDone;
    }

    void run(final boolean needed, final boolean canWrite, final FoldView view, final Instant now) {
        if (canWrite) {
            mPublisher.publishIfDue(view, now);
        }
        mClient.sendDue(!mInitialReadDone || needed || canWrite || !mClient.writer().isIdle(), now);
    }

    @Override
    public void onRecords(final List<LogEntry> entries, final boolean atHead, final Instant now) {
        for (final LogEntry entry : entries) {
            if (entry.record() instanceof LogRecord.Checkpoint part) {
                final Optional<FoldState> complete = mAssembler.addPart(part);
                complete.ifPresent(state -> mPublisher.onCheckpointRead(state.asOf(), now));
            }
        }
        if (atHead) {
            mAssembler.newest().ifPresent(mInstall);
            mInitialReadDone = true;
        }
    }

    @Override
    public void onExpired(final long oldest, final Instant now) {
        mClient.reader().seek(oldest);
    }
}
