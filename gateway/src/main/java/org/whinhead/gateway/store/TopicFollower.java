package org.whinhead.gateway.store;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.time.GuardedTask;
import org.whinhead.serving.store.StorePosition;

/**
 * Reads a topic continuously: the newest records first, then appended ones.
 *
 * <p>If the store has dropped unread records or has returned from an older copy, the follower
 * starts again with the newest ones. Failed reads are repeated at a fixed pause, as calls are
 * limited and billed.
 */
public final class TopicFollower {

    private static final Logger LOG = LoggerFactory.getLogger(TopicFollower.class);

    /** Pause after a failed call: a recovered store is noticed within it. */
    private static final Duration READER_RETRY_PAUSE = Duration.ofMillis(400);

    /** The same for daemons that don't read for others: together they would overload the store. */
    private static final Duration NON_READER_RETRY_PAUSE = Duration.ofMillis(1_000);

    /** The time within which the store answers a read for which it has records. */
    private static final Duration ANSWER_TIME = Duration.ofMillis(500);

    /** Interval at which a daemon checks that others still read for it. */
    private static final Duration COVERAGE_CHECK_PAUSE = Duration.ofMillis(200);

    private final EventLoop mLoop;
    private final MetadataStore mStore;
    private final StoreTopic mTopic;
    private final TopicListener mListener;
    private final Duration mMaxWait;
    private final Duration mPause;
    private final ReadCoordinator mReadCoordinator;
    private Future<?> mTimer;
    private PendingRead mRead;
    private long mNextOffset = -1;
    private long mNewestEnd = -1;
    private boolean mReachable = true;
    private boolean mWasCovered;

    /**
     * Creates a follower that is not started.
     *
     * @param loop the event loop
     * @param store the store
     * @param topic the topic
     * @param listener receives the records
     * @param schedule the timing of reads
     * @param readCoordinator decides whether this daemon reads itself
     */
    public TopicFollower(
            final EventLoop loop,
            final MetadataStore store,
            final StoreTopic topic,
            final TopicListener listener,
            final PollSchedule schedule,
            final ReadCoordinator readCoordinator) {
        mLoop = loop;
        mStore = store;
        mTopic = topic;
        mListener = listener;
        mMaxWait = schedule.maxWait();
        mPause = schedule.pause();
        mReadCoordinator = readCoordinator;
    }

    /**
     * The timing of reads.
     *
     * @param maxWait maximum time that the store waits for a record
     * @param pause pause between two reads
     */
    public record PollSchedule(Duration maxWait, Duration pause) {}

    /** Reads the topic unless others read for this daemon, and schedules the next read. */
    public void start() {
        mTimer = null;
        if (mNextOffset >= 0 && mReachable && mReadCoordinator.isCovered(mTopic)) {
            mWasCovered = true;
            scheduleNextRead(COVERAGE_CHECK_PAUSE);
        } else if (mNextOffset < 0) {
            read(() -> mStore.newest(mTopic), this::handleSnapshot);
        } else if (mWasCovered && mTopic.isResumedWithNewest()) {
            // The position is old by now: what it points to may have been written again.
            read(() -> mStore.newest(mTopic), this::handleResumption);
        } else {
            final long from = mNextOffset;
            read(() -> mStore.read(mTopic, from, mMaxWait), this::handleRead);
        }
    }

    private void read(
            final Supplier<CompletableFuture<StorePage>> call,
            final BiConsumer<StorePage, Throwable> handler) {
        mRead = new PendingRead(call, handler);
        mRead.send();
    }

    /**
     * Reads at once, because another daemon has read new records. A read in progress should then be
     * answered at once; if it isn't, its answer is lost, and waiting for its timeout would delay
     * the records by seconds. So it is sent once more.
     *
     * <p>Does nothing while the store refuses this daemon: digests with new records arrive several
     * times a second, and each refused call is billed.
     */
    public void readNow() {
        if (!mReachable || mRead == null) {
            return;
        }
        if (mTimer == null) {
            mRead.repeatIfUnanswered();
        } else if (mTimer.cancel(false)) {
            start();
        }
    }

    /** Reads the newest records of all keys with the next read, which is made at once. */
    public void readNewest() {
        mNextOffset = -1;
        if (mReachable && mTimer != null && mTimer.cancel(false)) {
            start();
        }
    }

    /**
     * Skips records that another daemon has read and that change nothing for this one.
     *
     * @param end the offset behind the last of these records
     */
    public void skipTo(final long end) {
        if (mNextOffset >= 0) {
            mNextOffset = Math.max(mNextOffset, end);
        }
    }

    /**
     * Returns the era of the store in which the topic was last read as a whole.
     *
     * @return the era; 0 before the first read, and for a store that names none
     */
    public long era() {
        return StorePosition.era(Math.max(mNewestEnd, 0));
    }

    private void handleSnapshot(final StorePage page, final Throwable failure) {
        if (failure != null) {
            handleFailure(failure);
            return;
        }
        markReachable();
        mWasCovered = false;
        mNextOffset = page.end();
        final boolean olderCopy = recordEnd(page.end());
        apply(
                () -> {
                    if (olderCopy) {
                        mListener.onOlderCopy(page.end());
                    }
                    mListener.onSnapshot(page.records(), page.end());
                });
    }

    /** Handles the newest records after others have read: those that are known change nothing. */
    private void handleResumption(final StorePage page, final Throwable failure) {
        if (failure != null || isOfLaterEra(page.end())) {
            handleSnapshot(page, failure);
            return;
        }
        markReachable();
        mWasCovered = false;
        mNextOffset = page.end();
        apply(() -> mListener.onAppended(page.records()));
    }

    /** Records the end of a snapshot; returns whether the store has begun a new era since. */
    private boolean recordEnd(final long end) {
        final boolean laterEra = isOfLaterEra(end);
        mNewestEnd = Math.max(mNewestEnd, end);
        if (laterEra) {
            LOG.atWarn()
                    .addKeyValue("topic", mTopic)
                    .addKeyValue("era", StorePosition.era(end))
                    .addKeyValue("end", StorePosition.offset(end))
                    .log("store returned from an older copy, topic read again");
        }
        return laterEra;
    }

    private boolean isOfLaterEra(final long end) {
        return StorePosition.isLaterEra(mNewestEnd, end);
    }

    private void handleRead(final StorePage page, final Throwable failure) {
        if (failure != null) {
            handleFailure(failure);
            return;
        }
        markReachable();
        if (page.truncated()) {
            LOG.atInfo()
                    .addKeyValue("topic", mTopic)
                    .log("records not in the store, reading the newest ones");
            mNextOffset = -1;
            start();
            return;
        }
        final List<StoreRecord> records = page.records();
        // Without a position, the newest records are read next.
        if (!records.isEmpty() && mNextOffset >= 0) {
            mNextOffset = Math.max(mNextOffset, records.get(records.size() - 1).offset() + 1);
        }
        apply(() -> mListener.onAppended(records));
    }

    /** Applies records; if that fails, reads the newest ones of all keys again. */
    private void apply(final Runnable application) {
        if (GuardedTask.run(LOG, "apply records of " + mTopic, application)) {
            scheduleNextRead(mPause);
        } else {
            mNextOffset = -1;
            scheduleNextRead(NON_READER_RETRY_PAUSE);
        }
    }

    private void scheduleNextRead(final Duration pause) {
        mTimer = mLoop.schedule(this::start, pause.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void markReachable() {
        if (!mReachable) {
            mReachable = true;
            // Reads the newest records again: keys dropped in the outage have no record.
            mNextOffset = -1;
            LOG.atInfo().addKeyValue("topic", mTopic).log("store reachable again");
        }
    }

    private void handleFailure(final Throwable failure) {
        // A record that can't be read at a position would end each later read from it as well.
        mNextOffset = -1;
        if (mReachable) {
            mReachable = false;
            LOG.atWarn()
                    .addKeyValue("topic", mTopic)
                    .addKeyValue("cause", String.valueOf(failure.getMessage()))
                    .log("store not reachable");
        }
        mListener.onUnreachable(failure);
        scheduleNextRead(mReadCoordinator.isReader() ? READER_RETRY_PAUSE : NON_READER_RETRY_PAUSE);
    }

    /** A read that is sent at most twice; the first answer counts. */
    private final class PendingRead {
        private final Supplier<CompletableFuture<StorePage>> mCall;
        private final BiConsumer<StorePage, Throwable> mHandler;
        private int mUnanswered;
        private boolean mRepeated;
        private boolean mDone;

        private PendingRead(
                final Supplier<CompletableFuture<StorePage>> call,
                final BiConsumer<StorePage, Throwable> handler) {
            mCall = call;
            mHandler = handler;
        }

        private void send() {
            mUnanswered++;
            mCall.get().whenComplete(this::complete);
        }

        private void repeatIfUnanswered() {
            if (!mRepeated) {
                mRepeated = true;
                mLoop.schedule(this::repeat, ANSWER_TIME.toMillis(), TimeUnit.MILLISECONDS);
            }
        }

        private void repeat() {
            if (!mDone) {
                LOG.atInfo().addKeyValue("topic", mTopic).log("read not answered, sent again");
                send();
            }
        }

        private void complete(final StorePage page, final Throwable failure) {
            mUnanswered--;
            final boolean otherMayAnswer = failure != null && mUnanswered > 0;
            if (!mDone && !otherMayAnswer) {
                mDone = true;
                mHandler.accept(page, failure);
            }
        }
    }
}
