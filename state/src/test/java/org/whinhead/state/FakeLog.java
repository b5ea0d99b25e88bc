package org.whinhead.state;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.whinhead.state.record.LogEntry;
import org.whinhead.state.record.LogRecord;

/** An in-memory stream of the log with its own clock, retention and delayed appends. */
public final class FakeLog {

    private final List<LogEntry> mAll = new ArrayList<>();
    private final List<List<LogRecord>> mDelayed = new ArrayList<>();
    private Instant mNow = Instant.parse("2026-01-01T00:00:00Z");
    private long mOldest;
    private boolean mDown;

    public Instant now() {
        return mNow;
    }

    public void advance(final Duration time) {
        mNow = mNow.plus(time);
    }

    public boolean isDown() {
        return mDown;
    }

    public void setDown(final boolean down) {
        mDown = down;
    }

    /** Returns every record ever appended, including expired ones. */
    public List<LogEntry> allEntries() {
        return mAll;
    }

    public long oldest() {
        return mOldest;
    }

    public void append(final List<LogRecord> records) {
        records.forEach(record -> mAll.add(new LogEntry(mAll.size(), mNow, record)));
    }

    public void delay(final List<LogRecord> records) {
        mDelayed.add(records);
    }

    public void appendDelayed(final int index) {
        if (!mDelayed.isEmpty() && !mDown) {
            append(mDelayed.remove(index % mDelayed.size()));
        }
    }

    public void appendAllDelayed() {
        while (!mDelayed.isEmpty()) {
            appendDelayed(0);
        }
    }

    public void expireTo(final long oldest) {
        mOldest = Math.max(mOldest, Math.min(oldest, mAll.size()));
    }

    public void expireBefore(final Instant time) {
        while (mOldest < mAll.size() && mAll.get((int) mOldest).at().isBefore(time)) {
            mOldest++;
        }
    }

    public List<LogEntry> read(final long from, final int max) {
        final int end = (int) Math.min(mAll.size(), from + max);
        return from >= end ? List.of() : List.copyOf(mAll.subList((int) from, end));
    }
}
