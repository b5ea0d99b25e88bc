package org.whinhead.standins.log;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** A log service without its HTTP side; single-threaded, and the time is passed in. */
public final class LogSimulation {

    /** How an append or a read went. */
    public enum Status {
        /** Done. */
        OK(200),
        /** The records asked for have expired. */
        EXPIRED(410),
        /** Over the cap; nothing was appended. */
        OVER_CAP(429),
        /** Down; nothing was done. */
        OUT(503);

        private final int mCode;

        Status(final int code) {
            mCode = code;
        }

        /** Returns the HTTP status. */
        public int code() {
            return mCode;
        }
    }

    /**
     * One record.
     *
     * @param offset its offset in the stream
     * @param data its data in base64
     * @param at when it was appended
     */
    public record Entry(long offset, String data, Instant at) {}

    /**
     * What an append did.
     *
     * @param status how it went
     * @param firstOffset the first record's offset, if it went well
     */
    public record AppendResult(Status status, long firstOffset) {}

    /**
     * What a read found.
     *
     * @param status how it went
     * @param oldest the oldest offset that is kept
     * @param next the offset to read from next
     * @param records the records, in order
     */
    public record ReadResult(Status status, long oldest, long next, List<Entry> records) {}

    private static final Duration CAP_WINDOW = Duration.ofSeconds(1);

    private final LogConfig mConfig;
    private final Map<String, Stream> mStreams = new HashMap<>();
    private final Deque<Instant> mAppends = new ArrayDeque<>();
    private boolean mOut;
    private long mAppended;
    private long mOverCap;

    /** Makes an empty log. */
    public LogSimulation(final LogConfig config) {
        mConfig = config;
    }

    /**
     * Appends records; they get consecutive offsets.
     *
     * @param stream the stream, which begins with its first append
     * @param data the records in base64
     * @param now the time
     * @return what it did
     */
    public AppendResult append(final String stream, final List<String> data, final Instant now) {
        if (mOut) {
            return new AppendResult(Status.OUT, 0);
        }
        while (!mAppends.isEmpty() && !mAppends.getFirst().plus(CAP_WINDOW).isAfter(now)) {
            mAppends.removeFirst();
        }
        if (mAppends.size() >= mConfig.appendsPerSecond()) {
            mOverCap++;
            return new AppendResult(Status.OVER_CAP, 0);
        }
        mAppends.add(now);
        mAppended++;
        final Stream target = mStreams.computeIfAbsent(stream, name -> new Stream());
        final long first = target.mNext;
        for (final String record : data) {
            target.mEntries.add(new Entry(target.mNext, record, now));
            target.mNext++;
        }
        return new AppendResult(Status.OK, first);
    }

    /**
     * Reads records.
     *
     * @param stream the stream; it is empty if nothing was appended yet
     * @param from the first offset wanted
     * @param max the most records
     * @param now the time
     * @return what was found
     */
    public ReadResult read(final String stream, final long from, final int max, final Instant now) {
        if (mOut) {
            return new ReadResult(Status.OUT, 0, from, List.of());
        }
        final Stream target = mStreams.getOrDefault(stream, new Stream());
        target.expire(now.minus(mConfig.retention()));
        final long oldest = target.oldest();
        if (from < oldest) {
            return new ReadResult(Status.EXPIRED, oldest, from, List.of());
        }
        final List<Entry> found = new ArrayList<>();
        final int start = (int) Math.min(from - oldest, target.mEntries.size());
        final int end = Math.min(start + max, target.mEntries.size());
        found.addAll(target.mEntries.subList(start, end));
        return new ReadResult(Status.OK, oldest, from + found.size(), found);
    }

    /** Fault: neither appends nor reads are served. */
    public void outage(final boolean out) {
        mOut = out;
    }

    /** Returns how many appends took effect. */
    public long appends() {
        return mAppended;
    }

    /** Returns how many appends were refused over the cap. */
    public long overCap() {
        return mOverCap;
    }

    private static final class Stream {
        private final List<Entry> mEntries = new ArrayList<>();
        private long mNext;

        private long oldest() {
            return mNext - mEntries.size();
        }

        private void expire(final Instant limit) {
            int expired = 0;
            while (expired < mEntries.size() && mEntries.get(expired).at().isBefore(limit)) {
                expired++;
            }
            mEntries.subList(0, expired).clear();
        }
    }
}
