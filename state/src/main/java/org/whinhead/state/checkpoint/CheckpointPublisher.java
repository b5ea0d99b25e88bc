package org.whinhead.state.checkpoint;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.Base64;
import java.util.Objects;
import org.whinhead.api.Arguments;
import org.whinhead.state.fold.FoldState;
import org.whinhead.state.fold.FoldView;
import org.whinhead.state.record.LogRecord;
import org.whinhead.state.record.RecordSink;

/**
 * Decides when a checkpoint is due and puts its parts on the checkpoint stream.
 *
 * <p>The holder of the checkpoint duty asks it; a second one that believes to hold the duty does no
 * harm, since a reader goes by the highest offset and ignores checkpoints that lack a part.
 */
public final class CheckpointPublisher {

    /** The duty whose holder writes checkpoints. */
    public static final String DUTY = "checkpoint";

    private final CheckpointCodec mCodec = new CheckpointCodec();
    private final RecordSink mSink;
    private final Duration mInterval;
    private final int mMaxPartBytes;
    private Instant mNextDue = Instant.MIN;
    private long mLastAsOf = LogRecord.NONE;

    /**
     * Makes a publisher.
     *
     * @param sink takes the parts, towards the checkpoint stream
     * @param every how often one is written; a small share of the log's retention
     * @param partBytes the most bytes in one part
     */
    public CheckpointPublisher(final RecordSink sink, final Duration every, final int partBytes) {
        mSink = Objects.requireNonNull(sink, "sink");
        mInterval = Arguments.requirePositive(every, "every");
        mMaxPartBytes = (int) Arguments.requireAtLeast(partBytes, 1, "partBytes");
    }

    /**
     * A complete checkpoint was read, whoever wrote it.
     *
     * @param asOf the offset that it is as of
     * @param now the time
     */
    public void onCheckpointRead(final long asOf, final Instant now) {
        if (asOf > mLastAsOf) {
            mLastAsOf = asOf;
            mNextDue = now.plus(mInterval);
        }
    }

    /**
     * Writes a checkpoint if one is due; called while this daemon holds the duty.
     *
     * @param view the shared state
     * @param now the time
     * @return whether all parts were queued
     */
    public boolean publishIfDue(final FoldView view, final Instant now) {
        if (now.isBefore(mNextDue) || !isPublishable(view)) {
            return false;
        }
        mNextDue = now.plus(mInterval);
        return publish(view.state(), now);
    }

    // Guards against two failures that would lose accepted changes: a checkpoint from a version
    // that met more unknown records than it keeps, and one from a daemon that only has a peer's
    // word for its state.
    private static boolean isPublishable(final FoldView view) {
        return view.source() == FoldView.Source.LOG && !view.state().unknownLost();
    }

    private boolean publish(final FoldState state, final Instant now) {
        final byte[] bytes = mCodec.encode(state);
        final String digest = CheckpointCodec.sha256Hex(bytes);
        final int parts = (bytes.length + mMaxPartBytes - 1) / mMaxPartBytes;
        final String name = state.asOf() + "-" + digest;
        for (int part = 0; part < parts; part++) {
            final int index = part;
            final int from = part * mMaxPartBytes;
            final byte[] slice =
                    Arrays.copyOfRange(bytes, from, Math.min(bytes.length, from + mMaxPartBytes));
            final String data = Base64.getEncoder().encodeToString(slice);
            final boolean queued =
                    mSink.offer(
                                    id ->
                                            new LogRecord.Checkpoint(
                                                    id,
                                                    name,
                                                    state.asOf(),
                                                    index,
                                                    parts,
                                                    digest,
                                                    data),
                                    now)
                            .isPresent();
            if (!queued) {
                mNextDue = now;
                return false;
            }
        }
        return true;
    }
}
