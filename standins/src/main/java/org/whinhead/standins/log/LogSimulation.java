package org.whinhead.standins.log;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Simulates a log service without HTTP; not thread-safe, and callers pass the current time. */
public final class LogSimulation {

    /** The outcome of an append or a read. */
    public enum Status {
        /** Successful. */
        OK(200),
        /** The requested records have expired. */
        EXPIRED(410),
        /** Over the append rate limit; nothing was appended. */
        OVER_CAP(429),
        /** Service outage; nothing was appended or read. */
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
     * A stored record.
     *
     * @param offset the record's offset in the stream
     * @param data the record's data in base64
     * @param at the time of the append
     */
    public record Entry(long offset, String data, Instant at) {}

    /**
     * The result of an append.
     *
     * @param status the outcome
     * @param firstOffset the first record's offset; 0 unless successful
     */
    public record AppendResult(Status status, long firstOffset) {}

    /**
     * The result of a read.
     *
     * @param status the outcome
     * @param oldest the oldest retained offset
     * @param next the offset to read from next
     * @param records the records, in order
     */
    public record ReadResult(Status status, long oldest, long next, List<Entry> records) {}

    private static final Duration CAP_WINDOW = Duration.ofSeconds(1);

    private final LogConfig mConfig;
    private final Map<String, Stream> mStreams = new HashMap<>();
    private final Deque<Instant> mAppends = new ArrayDeque<>();
    private boolean mOutage;
    private long mAppended;
    private long mOverCap;

    /** Creates an empty log. */
    public LogSimulation(final LogConfig config) {
        mConfig = config;
    }

    /**
     * Appends records with consecutive offsets.
     *
     * @param stream the stream, created by its first append
     * @param data the records in base64
     * @param now the time
     * @return the result
     */
    public AppendResult append(final String stream, final List<String> data, final Instant now) {
        if (mOutage) {
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
        final long first = target.mNextOffset;
        for (final String record : data) {
            target.mEntries.add(new Entry(target.mNextOffset, record, now));
            target.mNextOffset++;
        }
        return new AppendResult(Status.OK, first);
    }

    /**
     * Reads records from an offset.
     *
     * @param stream the stream; empty before its first append
     * @param from the first requested offset
     * @param max the maximum number of records
     * @param now the time
     * @return the result
     */
    public ReadResult read(final String stream, final long from, final int max, final Instant now) {
        if (mOutage) {
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

    /** Fault: sets whether appends and reads are refused. */
    public void outage(final boolean out) {
        mOutage = out;
    }

    /** Returns the number of appends that took effect. */
    public long appends() {
        return mAppended;
    }

    /** Returns the number of appends refused by the rate limit. */
    public long overCap() {
        return mOverCap;
    }

    private static final class Stream {
        private final List<Entry> mEntries = new ArrayList<>();
        private long mNextOffset;

        private long oldest() {
            return mNextOffset - mEntries.size();
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
