package org.whinhead.gateway.peers;

import io.netty.channel.EventLoop;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.time.GuardedTask;

/**
 * Tells all other daemons of news at once, and again as long as none of them has told the same,
 * since datagrams are lost.
 *
 * @param <K> what news are about; only the last news about it are told
 * @param <T> the news
 */
final class RepeatedNews<K, T> {

    private static final Logger LOG = LoggerFactory.getLogger(RepeatedNews.class);

    /** The time for which news are collected, as many endpoints may make a statement at once. */
    private static final int COLLECT_MILLIS = 2;

    /** The delays after which news are told again that no other daemon has told. */
    private static final int[] REPEAT_MILLIS = {60, 150};

    /** The time after the last repetition. */
    private static final int FORGET_MILLIS = 200;

    private final EventLoop mLoop;
    private final Function<T, K> mKey;
    private final Consumer<List<T>> mSend;
    private final int mMaxPerDatagram;
    private final Map<K, T> mCollected = new LinkedHashMap<>();
    private final Map<K, T> mUnrepeated = new LinkedHashMap<>();

    /**
     * Creates a teller without news.
     *
     * @param loop the event loop
     * @param key returns what news are about
     * @param maxPerDatagram the most news that fit into one packet
     * @param send sends news to all other daemons in one datagram
     */
    RepeatedNews(
            final EventLoop loop,
            final Function<T, K> key,
            final int maxPerDatagram,
            final Consumer<List<T>> send) {
        mLoop = Objects.requireNonNull(loop, "loop");
        mKey = Objects.requireNonNull(key, "key");
        mMaxPerDatagram = maxPerDatagram;
        mSend = Objects.requireNonNull(send, "send");
    }

    /** Tells all other daemons. */
    void tell(final T news) {
        if (mCollected.isEmpty()) {
            schedule(COLLECT_MILLIS, "tell news", this::sendCollected);
        }
        mCollected.put(mKey.apply(news), news);
        mUnrepeated.put(mKey.apply(news), news);
    }

    /** Ends the repetition of news that another daemon has told to all. */
    void heard(final T news) {
        mUnrepeated.remove(mKey.apply(news), news);
    }

    private void sendCollected() {
        final List<T> collected = List.copyOf(mCollected.values());
        mCollected.clear();
        send(collected);
        for (final int millis : REPEAT_MILLIS) {
            schedule(millis, "repeat news", () -> repeat(collected));
        }
        schedule(FORGET_MILLIS, "forget news", () -> collected.forEach(this::heard));
    }

    private void schedule(final int millis, final String name, final Runnable task) {
        mLoop.schedule(() -> GuardedTask.run(LOG, name, task), millis, TimeUnit.MILLISECONDS);
    }

    private void repeat(final List<T> news) {
        send(news.stream().filter(one -> one.equals(mUnrepeated.get(mKey.apply(one)))).toList());
    }

    private void send(final List<T> news) {
        for (int from = 0; from < news.size(); from += mMaxPerDatagram) {
            mSend.accept(news.subList(from, Math.min(from + mMaxPerDatagram, news.size())));
        }
    }
}
