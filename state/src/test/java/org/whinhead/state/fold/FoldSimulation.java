package org.whinhead.state.fold;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.whinhead.state.FakeLog;
import org.whinhead.state.StreamClient;

/**
 * Three daemons on one fleet stream and one checkpoint stream, checked against the settings oracle.
 */
final class FoldSimulation {

    private static final int DAEMON_COUNT = 3;

    private final FakeLog mFleetLog = new FakeLog();
    private final FakeLog mCheckpointLog = new FakeLog();
    private final List<FoldDaemon> mDaemons = new ArrayList<>();
    private int mIncarnations;
    private int mChanges;

    FoldSimulation() {
        for (int index = 0; index < DAEMON_COUNT; index++) {
            mDaemons.add(newDaemon(index));
        }
    }

    private FoldDaemon newDaemon(final int index) {
        return new FoldDaemon(mFleetLog, mCheckpointLog, mIncarnations++, index - 1);
    }

    FoldDaemon daemon(final int choice) {
        return mDaemons.get(choice % DAEMON_COUNT);
    }

    void change(final int choice) {
        final String author = choice < 9 ? "a" : "b";
        final String path = choice % 2 == 0 ? "/a/x" : "/a/y";
        final int number = choice == 4 ? mChanges : ++mChanges;
        final String text = choice == 7 ? "bad" : "text " + mChanges;
        daemon(choice).change("change-" + number, path, author, text);
    }

    void write(final int index, final StreamClient.AppendOutcome outcome) {
        daemon(index).write(outcome);
    }

    void exchangeCheckpoints(final int index, final StreamClient.AppendOutcome outcome) {
        daemon(index).exchangeCheckpoints(outcome);
    }

    void restart(final int choice, final boolean fromPeer) {
        final FoldDaemon fresh = newDaemon(choice % DAEMON_COUNT);
        mDaemons.set(choice % DAEMON_COUNT, fresh);
        final FoldView peer = daemon(choice + 1).fold().view();
        if (fromPeer && peer.source() != FoldView.Source.NONE) {
            fresh.install(peer.state(), FoldView.Source.PEER);
        }
    }

    void appendDelayed(final int choice) {
        (choice % 2 == 0 ? mFleetLog : mCheckpointLog).appendDelayed(choice);
    }

    void setOutage(final int choice) {
        mFleetLog.setDown(choice < 4);
        mCheckpointLog.setDown(choice < 4);
    }

    void expire(final int choice) {
        mFleetLog.expireTo(mFleetLog.allEntries().size() * (long) choice / 11);
    }

    void advance(final Duration time) {
        mFleetLog.advance(time);
    }

    void checkSettings() {
        for (final FoldDaemon daemon : mDaemons) {
            final Map<String, Long> revisions = new TreeMap<>();
            final FoldState state = daemon.fold().view().state();
            for (final String path : state.settings().history().keySet()) {
                revisions.put(path, state.settings().revisionNumber(path));
            }
            assertThat(revisions)
                    .isEqualTo(SettingsOracle.revisions(mFleetLog.allEntries(), state.asOf()));
            daemon.lastRevisions()
                    .forEach(
                            (path, last) ->
                                    assertThat(revisions.get(path)).isGreaterThanOrEqualTo(last));
            daemon.lastRevisions().putAll(revisions);
        }
    }

    void checkLease() {
        assertThat(mDaemons.stream().filter(FoldDaemon::canAct).count()).isLessThanOrEqualTo(1);
    }

    /**
     * Ends all faults and checks that all daemons reach the same state, unless the records that
     * they need expired.
     */
    void recoverAndCheck() {
        setOutage(DAEMON_COUNT * DAEMON_COUNT);
        runWithoutFaults();
        mFleetLog.appendAllDelayed();
        mCheckpointLog.appendAllDelayed();
        runWithoutFaults();
        mDaemons.forEach(FoldDaemon::read);
        final long furthest =
                mDaemons.stream().mapToLong(daemon -> daemon.fold().nextOffset()).max().orElse(0);
        if (furthest < mFleetLog.oldest()) {
            return;
        }
        final FoldState first = daemon(0).fold().view().state();
        assertThat(first.asOf()).isEqualTo(mFleetLog.allEntries().size());
        mDaemons.forEach(daemon -> assertThat(daemon.fold().view().state()).isEqualTo(first));
        assertThat(mDaemons).anyMatch(FoldDaemon::canAct);
    }

    private void runWithoutFaults() {
        for (int round = 0; round < 80; round++) {
            advance(Duration.ofMillis(250));
            for (final FoldDaemon daemon : mDaemons) {
                daemon.write(StreamClient.AppendOutcome.DONE);
                daemon.read();
                daemon.read();
                daemon.publish();
                daemon.exchangeCheckpoints(StreamClient.AppendOutcome.DONE);
            }
            checkSettings();
            checkLease();
        }
    }
}
