package org.whinhead.faults.world;

import java.util.HashSet;
import java.util.Set;
import java.util.TreeSet;
import org.whinhead.state.record.LogEntry;
import org.whinhead.state.record.LogRecord;
import org.whinhead.state.record.RecordId;

/** Replays the records of the fleet's lease and the notes made under it. */
final class NoteReplay {

    private final Set<RecordId> mSeenRecords = new HashSet<>();
    private final Set<String> mOpen = new TreeSet<>();
    private long mFencingNumber = LogRecord.NONE;
    private long mNewestLeaseOffset = LogRecord.NONE;

    void apply(final LogEntry entry) {
        if (!mSeenRecords.add(entry.record().id())) {
            return;
        }
        if (entry.record() instanceof LogRecord.LeaseTaken taken
                && taken.seenOffset() == mNewestLeaseOffset) {
            mFencingNumber = entry.offset();
            mNewestLeaseOffset = entry.offset();
        } else if (entry.record() instanceof LogRecord.LeaseRenewed renewed
                && renewed.seenOffset() == mFencingNumber) {
            mNewestLeaseOffset = entry.offset();
        } else if (entry.record() instanceof LogRecord.DutyNoted note) {
            apply(note);
        }
    }

    private void apply(final LogRecord.DutyNoted note) {
        if (note.fencing() != mFencingNumber) {
            return;
        }
        if (note.body().isPresent()) {
            mOpen.add(note.name());
        } else {
            mOpen.remove(note.name());
        }
    }

    /** Returns the names of the notes that were made and not removed. */
    Set<String> openNotes() {
        return mOpen;
    }
}
