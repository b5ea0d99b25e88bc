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
import org.whinhead.state.StreamClient;

/** Three daemons with claim coordinators on one stream, and their decisions. */
final class ClaimSimulation {

    static final Duration WINDOW = Duration.ofMinutes(6);
    private static final Duration RETENTION = WINDOW.multipliedBy(2);
    private static final Duration DEADLINE = Duration.ofSeconds(2);

    private final FakeLog mLog = new FakeLog();
    private final Map<Long, ClaimResult> mDecisions = new HashMap<>();
    private final Map<ClaimKey, List<Instant>> mGrants = new HashMap<>();
    private final List<ClaimDaemon> mDaemons = new ArrayList<>();
    private int mIncarnations;
    private boolean mCrashed;
    private long mAttempts;

    ClaimSimulation() {
        for (int index = 0; index < 3; index++) {
            mDaemons.add(new ClaimDaemon());
        }
    }

    FakeLog log() {
        return mLog;
    }

    Map<Long, ClaimResult> decided() {
        return mDecisions;
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

    long claim(final int daemon, final int key) {
        final long attempt = ClaimKey.attemptHash(new DaemonId("any"), ++mAttempts);
        final Instant now = mLog.now();
        mDaemons.get(daemon).mCoordinator.claim(key(key), attempt, now.plus(DEADLINE), now);
        return attempt;
    }

    void withdraw(final int daemon, final int key, final long attempt) {
        mDaemons.get(daemon).mCoordinator.withdraw(key(key), attempt, mLog.now());
    }

    void write(final int daemon, final StreamClient.AppendOutcome outcome) {
        mDaemons.get(daemon).mCoordinator.tick(mLog.now());
        mDaemons.get(daemon).mClient.write(outcome, mLog.now());
    }

    void read(final int daemon) {
        mDaemons.get(daemon).read();
    }

    void restart(final int daemon) {
        mCrashed = true;
        mDaemons.set(daemon, new ClaimDaemon());
    }

    void advance(final Duration time) {
        mLog.advance(time);
        mLog.expireBefore(mLog.now().minus(RETENTION));
    }

    /** Ends all faults and runs every daemon, and again after all delayed appends were written. */
    void recover() {
        mLog.setDown(false);
        runWithoutFaults();
        mLog.appendAllDelayed();
        runWithoutFaults();
    }

    private void runWithoutFaults() {
        for (int round = 0; round < 40; round++) {
            advance(Duration.ofMillis(100));
            for (int daemon = 0; daemon < mDaemons.size(); daemon++) {
                write(daemon, StreamClient.AppendOutcome.DONE);
                read(daemon);
                read(daemon);
            }
        }
    }

    private void decided(
            final ClaimKey key,
            final long attempt,
            final ClaimResult result,
            final Instant dispatchBy) {
        assertThat(mDecisions.put(attempt, result)).as("one decision an attempt").isNull();
        if (result == ClaimResult.GRANTED) {
            assertThat(dispatchBy).isAfter(mLog.now());
            mGrants.computeIfAbsent(key, any -> new ArrayList<>()).add(mLog.now());
        }
    }

    private final class ClaimDaemon {
        private final StreamClient mClient =
                new StreamClient(mLog, new DaemonId("i" + mIncarnations++));
        private final ClaimTable mTable = new ClaimTable(WINDOW, 1_000);
        private final ClaimCoordinator mCoordinator =
                new ClaimCoordinator(
                        mTable,
                        mClient.writer(),
                        new ClaimLimits(
                                WINDOW.dividedBy(2), Duration.ofMillis(20), 4, 6, 1_000_000),
                        ClaimSimulation.this::decided);

        void read() {
            if (!mClient.read(mLog.now(), entry -> mCoordinator.apply(entry, mLog.now()))) {
                mTable.reset();
                mClient.reader().seek(mClient.reader().oldestAvailable());
            }
        }
    }
}
