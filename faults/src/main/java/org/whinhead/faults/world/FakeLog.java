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

/** The platform's log: streams under one cap, with outages, retention and lost answers. */
public final class FakeLog {

    /** The stream of claims. */
    public static final String CLAIMS = "claims";

    /** The stream of settings, leases and notes. */
    public static final String FLEET = "fleet";

    /** The stream of checkpoints. */
    public static final String CHECKPOINTS = "checkpoints";

    /** How long records are kept. */
    public static final Duration RETENTION = Duration.ofSeconds(60);

    private static final int MAX_DELAY_MILLIS = 5;
    private static final int LATE_MILLIS = 7_000;

    private final FakeWorld mWorld;
    private final Map<String, Stream> mStreams = new TreeMap<>();
    private boolean mOut;
    private int mSlowMillis;
    private int mCapPerSecond = Integer.MAX_VALUE;
    private int mLoseAnswers;
    private int mLandLate;
    private long mSecond;
    private int mAppendsInSecond;

    FakeLog(final FakeWorld world) {
        mWorld = world;
    }

    /** Begins or ends an outage. */
    public void setOut(final boolean out) {
        mOut = out;
    }

    boolean isOut() {
        return mOut;
    }

    /** Makes each call take so much longer. */
    public void setSlow(final int millis) {
        mSlowMillis = millis;
    }

    /** Sets the most appends a second. */
    public void setCap(final int appendsPerSecond) {
        mCapPerSecond = appendsPerSecond;
    }

    /** Loses the answers of the next appends after they took effect. */
    public void loseAnswers(final int count) {
        mLoseAnswers = count;
    }

    /** Loses the answers of the next appends, which take effect only seconds later. */
    public void landLate(final int count) {
        mLandLate = count;
    }

    /** Ends all faults. */
    void heal() {
        mOut = false;
        mSlowMillis = 0;
        mCapPerSecond = Integer.MAX_VALUE;
        mLoseAnswers = 0;
        mLandLate = 0;
    }

    /** Returns every record that a stream ever took, also the expired ones. */
    public List<LogEntry> all(final String stream) {
        return stream(stream).mEntries;
    }

    long oldest(final String stream) {
        final Instant limit = mWorld.time().now().minus(RETENTION);
        final Stream all = stream(stream);
        while (all.mOldest < all.mEntries.size()
                && all.mEntries.get(all.mOldest).at().isBefore(limit)) {
            all.mOldest++;
        }
        return all.mOldest;
    }

    void append(
            final String stream, final List<LogRecord> records, final Consumer<Appended> answer) {
        mWorld.time().after(delay(), () -> arrived(stream, records, answer));
    }

    void read(final String stream, final long from, final int max, final Consumer<Read> answer) {
        mWorld.time().after(delay(), () -> answerRead(stream, from, max, answer));
    }

    private void arrived(
            final String stream, final List<LogRecord> records, final Consumer<Appended> answer) {
        final Appended result = take(stream, records);
        mWorld.time().after(delay(), () -> answer.accept(result));
    }

    private Appended take(final String stream, final List<LogRecord> records) {
        if (mOut || isOverCap()) {
            return Appended.REFUSED;
        }
        final boolean chance = mWorld.chance(mWorld.lossPercent());
        if (mLandLate > 0) {
            mLandLate--;
            mWorld.time().after(LATE_MILLIS, () -> store(stream, records));
            return Appended.UNKNOWN;
        }
        store(stream, records);
        if (mLoseAnswers > 0 || chance) {
            mLoseAnswers = Math.max(0, mLoseAnswers - 1);
            return Appended.UNKNOWN;
        }
        return Appended.DONE;
    }

    private boolean isOverCap() {
        final long second = mWorld.time().now().getEpochSecond();
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
            entries.add(new LogEntry(entries.size(), mWorld.time().now(), record));
        }
    }

    private void answerRead(
            final String stream, final long from, final int max, final Consumer<Read> answer) {
        final List<LogEntry> all = all(stream);
        final long oldest = oldest(stream);
        final int end = (int) Math.min(all.size(), from + max);
        final List<LogEntry> entries =
                from < oldest || from >= end
                        ? List.of()
                        : List.copyOf(all.subList((int) from, end));
        final Read read = new Read(mOut, oldest, entries);
        mWorld.time().after(delay(), () -> answer.accept(read));
    }

    private int delay() {
        return 1 + mWorld.random().nextInt(MAX_DELAY_MILLIS) + mSlowMillis / 2;
    }

    private Stream stream(final String name) {
        return mStreams.computeIfAbsent(name, any -> new Stream());
    }

    /** How an append ended for its sender. */
    enum Appended {
        DONE,
        REFUSED,
        UNKNOWN
    }

    /** The answer to a read. */
    record Read(boolean failed, long oldest, List<LogEntry> entries) {}

    private static final class Stream {
        private final List<LogEntry> mEntries = new ArrayList<>();
        private int mOldest;
    }
}
