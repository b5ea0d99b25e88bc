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
 * Reads and writes checkpoints; on the duty's thread.
 *
 * <p>The stream is followed only by who needs it: a daemon that starts or whose position in the
 * fleet stream has expired, and the holder of the duty that writes it.
 */
final class CheckpointStream implements StreamHandler {

    private static final int PART_BYTES = 256 * 1024;

    private final LogStreamClient mClient;
    private final CheckpointAssembler mAssembler = new CheckpointAssembler();
    private final CheckpointPublisher mPublisher;
    private final Consumer<FoldState> mInstall;
    private boolean mStarted;

    CheckpointStream(
            final LogStreamClient pump,
            final LogServiceSettings terms,
            final Consumer<FoldState> install) {
        mClient = pump;
        mPublisher = new CheckpointPublisher(pump.writer(), terms.checkpointEvery(), PART_BYTES);
        mInstall = install;
        pump.setHandler(this);
    }

    /** Tells whether the newest checkpoint at the start was looked for. */
    boolean isStarted() {
        return mStarted;
    }

    void run(final boolean wanted, final boolean holder, final FoldView view, final Instant now) {
        if (holder) {
            mPublisher.publishIfDue(view, now);
        }
        mClient.sendDue(!mStarted || wanted || holder || !mClient.writer().isIdle(), now);
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
            mStarted = true;
        }
    }

    @Override
    public void onExpired(final long oldest, final Instant now) {
        mClient.reader().seek(oldest);
    }
}
