package org.whinhead.state.claim;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.DaemonId;
import org.whinhead.state.FakeLog;
import org.whinhead.state.StreamPort;

/** Three daemons with claim desks on one stream, and what they told their callers. */
final class ClaimFleet {

    static final Duration WINDOW = Duration.ofMinutes(6);
    private static final Duration RETENTION = WINDOW.multipliedBy(2);
    private static final Duration DEADLINE = Duration.ofSeconds(2);

    private final FakeLog mLog = new FakeLog();
    private final Map<Long, ClaimResult> mDecided = new HashMap<>();
    private final Map<ClaimKey, List<Instant>> mGrants = new HashMap<>();
    private final List<Member> mMembers = new ArrayList<>();
    private int mIncarnations;
    private boolean mCrashed;
    private long mAttempts;

    ClaimFleet() {
        for (int index = 0; index < 3; index++) {
            mMembers.add(new Member());
        }
    }

    FakeLog log() {
        return mLog;
    }

    Map<Long, ClaimResult> decided() {
        return mDecided;
    }

    Map<ClaimKey, List<Instant>> grants() {
        return mGrants;
    }

    boolean crashed() {
        return mCrashed;
    }

    static ClaimKey key(final int index) {
        return ClaimKey.of(new CustomerId("c"), "key-" + index);
    }

    long claim(final int member, final int key) {
        final long attempt = ClaimKey.attempt(new DaemonId("any"), ++mAttempts);
        final Instant now = mLog.now();
        mMembers.get(member).mDesk.claim(key(key), attempt, now.plus(DEADLINE), now);
        return attempt;
    }

    void withdraw(final int member, final int key, final long attempt) {
        mMembers.get(member).mDesk.withdraw(key(key), attempt, mLog.now());
    }

    void write(final int member, final StreamPort.Fate fate) {
        mMembers.get(member).mDesk.tick(mLog.now());
        mMembers.get(member).mPort.write(fate, mLog.now());
    }

    void read(final int member) {
        mMembers.get(member).read();
    }

    void crash(final int member) {
        mCrashed = true;
        mMembers.set(member, new Member());
    }

    void pass(final Duration time) {
        mLog.pass(time);
        mLog.expireBefore(mLog.now().minus(RETENTION));
    }

    /** Ends all faults, lets every daemon settle, and once more after the last late appends. */
    void settle() {
        mLog.down(false);
        work();
        mLog.landAll();
        work();
    }

    private void work() {
        for (int round = 0; round < 40; round++) {
            pass(Duration.ofMillis(100));
            for (int member = 0; member < mMembers.size(); member++) {
                write(member, StreamPort.Fate.DONE);
                read(member);
                read(member);
            }
        }
    }

    private void decided(
            final ClaimKey key,
            final long attempt,
            final ClaimResult result,
            final Instant dispatchBy) {
        assertThat(mDecided.put(attempt, result)).as("one decision an attempt").isNull();
        if (result == ClaimResult.GRANTED) {
            assertThat(dispatchBy).isAfter(mLog.now());
            mGrants.computeIfAbsent(key, any -> new ArrayList<>()).add(mLog.now());
        }
    }

    private final class Member {
        private final StreamPort mPort = new StreamPort(mLog, new DaemonId("i" + mIncarnations++));
        private final ClaimTable mTable = new ClaimTable(WINDOW, 1_000);
        private final ClaimDesk mDesk =
                new ClaimDesk(
                        mTable,
                        mPort.writer(),
                        new ClaimTerms(WINDOW.dividedBy(2), Duration.ofMillis(20), 4, 6, 1_000_000),
                        ClaimFleet.this::decided);

        void read() {
            if (!mPort.read(mLog.now(), entry -> mDesk.read(entry, mLog.now()))) {
                mTable.reset();
                mPort.reader().moveTo(mPort.reader().oldest());
            }
        }
    }
}
