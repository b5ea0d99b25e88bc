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
 * Publishes a checkpoint in parts on the checkpoint stream when one is due.
 *
 * <p>The holder of the checkpoint duty calls it. A second daemon that believes it holds the duty
 * does no harm, since readers use the complete checkpoint with the highest offset.
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
     * Creates a publisher.
     *
     * @param sink the writer of the checkpoint stream
     * @param interval the time between two checkpoints; a small share of the log's retention
     * @param maxPartBytes the highest number of bytes in a part before base64 encoding, at least 1
     */
    public CheckpointPublisher(
            final RecordSink sink, final Duration interval, final int maxPartBytes) {
        mSink = Objects.requireNonNull(sink, "sink");
        mInterval = Arguments.requirePositive(interval, "interval");
        mMaxPartBytes = (int) Arguments.requireAtLeast(maxPartBytes, 1, "maxPartBytes");
    }

    /**
     * Delays the next checkpoint by the interval if a newer complete checkpoint was read from the
     * stream, from any writer.
     *
     * @param asOf the first offset that the checkpoint does not cover
     * @param now the time
     */
    public void onCheckpointRead(final long asOf, final Instant now) {
        if (asOf > mLastAsOf) {
            mLastAsOf = asOf;
            mNextDue = now.plus(mInterval);
        }
    }

    /**
     * Queues a checkpoint if one is due. The caller holds the checkpoint duty.
     *
     * @param view the current view of the shared state
     * @param now the time
     * @return whether a checkpoint was due and all of its parts were queued
     */
    public boolean publishIfDue(final FoldView view, final Instant now) {
        if (now.isBefore(mNextDue) || !isPublishable(view)) {
            return false;
        }
        mNextDue = now.plus(mInterval);
        return publish(view.state(), now);
    }

    // Accepted changes would be lost by a checkpoint from a version that dropped unknown records
    // over its limit, or from a daemon whose state comes from a peer and was not confirmed by the
    // log.
    private static boolean isPublishable(final FoldView view) {
        return view.source() == FoldView.Source.LOG && !view.state().unknownLost();
    }

    private boolean publish(final FoldState state, final Instant now) {
        final byte[] bytes = mCodec.encode(state);
        final String digest = CheckpointCodec.sha256Hex(bytes);
        final int parts = (bytes.length + mMaxPartBytes - 1) / mMaxPartBytes;
        final String checkpointId = state.asOf() + "-" + digest;
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
                                                    checkpointId,
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
