package org.whinhead.gateway.store;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follows a topic: the newest records first, then each record as it comes.
 *
 * <p>A read that finds its records dropped starts over with the newest ones. Reads that hang or
 * fail are repeated at a steady pace, as the store's calls are limited and billed.
 */
public final class TopicFollower {

    private static final Logger LOG = LoggerFactory.getLogger(TopicFollower.class);

    /** The pause after a failed call: a store that is back is noticed within it. */
    private static final Duration READER_RETRY_PAUSE = Duration.ofMillis(400);

    /** The same for daemons that don't read for others: together they would flood the store. */
    private static final Duration NON_READER_RETRY_PAUSE = Duration.ofMillis(1_000);

    /** How often a daemon for which others read checks that they still do. */
    private static final Duration COVERAGE_CHECK_PAUSE = Duration.ofMillis(200);

    private final EventLoop mLoop;
    private final MetadataStore mStore;
    private final StoreTopic mTopic;
    private final TopicListener mListener;
    private final Duration mMaxWait;
    private final Duration mPause;
    private final ReadCoordinator mReadCoordinator;
    private Future<?> mTimer;
    private long mNextOffset = -1;
    private boolean mReachable = true;

    /**
     * Makes a follower that follows nothing yet.
     *
     * @param loop where everything runs
     * @param store the store
     * @param topic the topic
     * @param listener hears what is read
     * @param pace how it is read
     * @param sharing tells whether others read
     */
    public TopicFollower(
            final EventLoop loop,
            final MetadataStore store,
            final StoreTopic topic,
            final TopicListener listener,
            final PollSchedule pace,
            final ReadCoordinator sharing) {
        mLoop = loop;
        mStore = store;
        mTopic = topic;
        mListener = listener;
        mMaxWait = pace.maxWait();
        mPause = pace.pause();
        mReadCoordinator = sharing;
    }

    /**
     * How often a topic is read.
     *
     * @param longestWait how long the store may wait for a record
     * @param pause the pause between two reads
     */
    public record PollSchedule(Duration maxWait, Duration pause) {}

    /** Starts to follow. */
    public void start() {
        mTimer = null;
        if (mNextOffset >= 0 && mReachable && mReadCoordinator.isCovered(mTopic)) {
            scheduleNextRead(COVERAGE_CHECK_PAUSE);
        } else if (mNextOffset < 0) {
            mStore.newest(mTopic).whenComplete(this::handleSnapshot);
        } else {
            mStore.read(mTopic, mNextOffset, mMaxWait).whenComplete(this::handleRead);
        }
    }

    /**
     * Reads at once, as another daemon has seen something new.
     *
     * <p>Not while the store turns this daemon away: digests of what it can't read come several
     * times a second, and each refused call is billed. Twenty daemons that were cut off for nine
     * seconds while keys were revoked made a thousand of them.
     */
    public void readNow() {
        if (mReachable && mTimer != null && mTimer.cancel(false)) {
            start();
        }
    }

    /**
     * Skips records that were read by another daemon and changed nothing here.
     *
     * @param end the offset behind the last of them
     */
    public void skipTo(final long end) {
        if (mNextOffset >= 0) {
            mNextOffset = Math.max(mNextOffset, end);
        }
    }

    private void handleSnapshot(final StorePage page, final Throwable failure) {
        if (failure != null) {
            handleFailure(failure);
            return;
        }
        markReachable();
        mNextOffset = page.end();
        mListener.onSnapshot(page.records(), page.end());
        scheduleNextRead(mPause);
    }

    private void handleRead(final StorePage page, final Throwable failure) {
        if (failure != null) {
            handleFailure(failure);
            return;
        }
        markReachable();
        if (page.truncated()) {
            LOG.atInfo().addKeyValue("topic", mTopic).log("records dropped, reading the newest");
            mNextOffset = -1;
            start();
            return;
        }
        final List<StoreRecord> records = page.records();
        if (!records.isEmpty()) {
            mNextOffset = Math.max(mNextOffset, records.get(records.size() - 1).offset() + 1);
        }
        mListener.onAppended(records);
        scheduleNextRead(mPause);
    }

    private void scheduleNextRead(final Duration pause) {
        mTimer = mLoop.schedule(this::start, pause.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void markReachable() {
        if (!mReachable) {
            mReachable = true;
            // Whatever was dropped while the store was away has no record that could be read.
            mNextOffset = -1;
            LOG.atInfo().addKeyValue("topic", mTopic).log("store reachable again");
        }
    }

    private void handleFailure(final Throwable failure) {
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
}
