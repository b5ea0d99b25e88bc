package org.whinhead.daemon.duty;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.clients.cloud.NoticeClient;
import org.whinhead.clients.cloud.NoticePage;
import org.whinhead.clients.cloud.ReclaimNotice;
import org.xnio.XnioIoThread;

/** Long-polls the cloud for reclaim notices and passes each to a listener on an IO thread. */
public final class ReclaimNoticePoller implements AutoCloseable {

    private static final Logger LOGGER = LoggerFactory.getLogger(ReclaimNoticePoller.class);
    private static final long RETRY_MILLIS = 500;

    private final NoticeClient mClient;
    private final XnioIoThread mTimers;
    private final Consumer<ReclaimNotice> mListener;
    private volatile boolean mClosed;

    /**
     * Creates a poller and starts the first read.
     *
     * @param client the client that reads notices
     * @param timers the IO thread that schedules retries of failed reads
     * @param listener the receiver of each notice
     */
    public ReclaimNoticePoller(
            final NoticeClient client,
            final XnioIoThread timers,
            final Consumer<ReclaimNotice> listener) {
        mClient = client;
        mTimers = timers;
        mListener = listener;
        read(0);
    }

    @Override
    public void close() {
        mClosed = true;
    }

    private void read(final long after) {
        if (!mClosed) {
            mClient.read(after).whenComplete((page, fault) -> onRead(after, page, fault));
        }
    }

    private void onRead(final long after, final NoticePage page, final Throwable fault) {
        if (fault != null) {
            LOGGER.atDebug()
                    .addKeyValue("cause", fault.getMessage())
                    .log("reclaim notices cannot be read");
            mTimers.executeAfter(() -> read(after), RETRY_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        page.notices().forEach(mListener);
        read(page.next());
    }
}
