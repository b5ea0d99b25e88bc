package org.whinhead.faults.world;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.whinhead.state.record.LogEntry;
import org.whinhead.state.record.LogRecord;

/** A fake of the platform's log: streams under one append cap, with retention and faults. */
public final class FakeLog {

    /** The stream of claims. */
    public static final String CLAIMS = "claims";

    /** The stream of settings, leases and notes. */
    public static final String FLEET = "fleet";

    /** The stream of checkpoints. */
    public static final String CHECKPOINTS = "checkpoints";

    /** The time after which records expire. */
    public static final Duration RETENTION = Duration.ofSeconds(60);

    private static final int MAX_DELAY_MILLIS = 5;
    private static final int APPEND_DELAY_MILLIS = 7_000;

    private final FakeWorld mWorld;
    private final Map<String, Stream> mStreams = new TreeMap<>();
    private boolean mOut;
    private int mExtraLatencyMillis;
    private int mCapPerSecond = Integer.MAX_VALUE;
    private int mAnswersToLose;
    private int mAppendsToDelay;
    private long mSecond;
    private int mAppendsInSecond;

    FakeLog(final FakeWorld world) {
        mWorld = world;
    }

    /** Starts or ends an outage. */
    public void setOut(final boolean out) {
        mOut = out;
    }

    boolean isOut() {
        return mOut;
    }

    /** Adds a latency to each call, half on the way there and half on the way back. */
    public void setExtraLatency(final int millis) {
        mExtraLatencyMillis = millis;
    }

    /** Sets the maximum number of appends a second over all streams. */
    public void setAppendCap(final int appendsPerSecond) {
        mCapPerSecond = appendsPerSecond;
    }

    /** Loses the answers of the next appends, which still take effect. */
    public void loseAnswers(final int count) {
        mAnswersToLose = count;
    }

    /** Loses the answers of the next appends, which take effect only seconds later. */
    public void delayAppends(final int count) {
        mAppendsToDelay = count;
    }

    /** Ends all faults. */
    void heal() {
        mOut = false;
        mExtraLatencyMillis = 0;
        mCapPerSecond = Integer.MAX_VALUE;
        mAnswersToLose = 0;
        mAppendsToDelay = 0;
    }

    /** Returns every record that a stream ever stored, including expired ones. */
    public List<LogEntry> allEntries(final String stream) {
        return stream(stream).mEntries;
    }

    long oldestOffset(final String stream) {
        final Instant limit = mWorld.clock().now().minus(RETENTION);
        final Stream all = stream(stream);
        while (all.mOldest < all.mEntries.size()
                && all.mEntries.get(all.mOldest).at().isBefore(limit)) {
            all.mOldest++;
        }
        return all.mOldest;
    }

    void append(
            final String stream,
            final List<LogRecord> records,
            final Consumer<AppendResult> answer) {
        mWorld.clock().schedule(delay(), () -> onAppend(stream, records, answer));
    }

    void read(
            final String stream,
            final long from,
            final int max,
            final Consumer<ReadResult> answer) {
        mWorld.clock().schedule(delay(), () -> answerRead(stream, from, max, answer));
    }

    private void onAppend(
            final String stream,
            final List<LogRecord> records,
            final Consumer<AppendResult> answer) {
        final AppendResult result = decideAppend(stream, records);
        mWorld.clock().schedule(delay(), () -> answer.accept(result));
    }

    private AppendResult decideAppend(final String stream, final List<LogRecord> records) {
        if (mOut || isOverCap()) {
            return AppendResult.REFUSED;
        }
        final boolean answerLost = mWorld.isDrawn(mWorld.lossPercent());
        if (mAppendsToDelay > 0) {
            mAppendsToDelay--;
            mWorld.clock().schedule(APPEND_DELAY_MILLIS, () -> store(stream, records));
            return AppendResult.UNKNOWN;
        }
        store(stream, records);
        if (mAnswersToLose > 0 || answerLost) {
            mAnswersToLose = Math.max(0, mAnswersToLose - 1);
            return AppendResult.UNKNOWN;
        }
        return AppendResult.DONE;
    }

    private boolean isOverCap() {
        final long second = mWorld.clock().now().getEpochSecond();
        if (second != mSecond) {
            mSecond = second;
            mAppendsInSecond = 0;
        }
        mAppendsInSecond++;
        return mAppendsInSecond > mCapPerSecond;
    }

    private void store(final String stream, final List<LogRecord> records) {
        final List<LogEntry> entries = stream(stream).mEntries;
        for (final LogRecord record : records) {
            entries.add(new LogEntry(entries.size(), mWorld.clock().now(), record));
        }
    }

    private void answerRead(
            final String stream,
            final long from,
            final int max,
            final Consumer<ReadResult> answer) {
        final List<LogEntry> all = allEntries(stream);
        final long oldest = oldestOffset(stream);
        final int end = (int) Math.min(all.size(), from + max);
        final List<LogEntry> entries =
                from < oldest || from >= end
                        ? List.of()
                        : List.copyOf(all.subList((int) from, end));
        final ReadResult read = new ReadResult(mOut, oldest, entries);
        mWorld.clock().schedule(delay(), () -> answer.accept(read));
    }

    private int delay() {
        return 1 + mWorld.random().nextInt(MAX_DELAY_MILLIS) + mExtraLatencyMillis / 2;
    }

    private Stream stream(final String name) {
        return mStreams.computeIfAbsent(name, any -> new Stream());
    }

    /** The result of an append as its sender sees it. */
    enum AppendResult {
        DONE,
        REFUSED,
        UNKNOWN
    }

    /** The answer to a read; {@code oldest} is the offset of the oldest record still stored. */
    record ReadResult(boolean failed, long oldest, List<LogEntry> entries) {}

    private static final class Stream {
        private final List<LogEntry> mEntries = new ArrayList<>();
        private int mOldest;
    }
}
