package org.whinhead.faults.world;

import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.whinhead.api.model.DaemonId;
import org.whinhead.state.fold.FoldState;
import org.whinhead.state.record.LogEntry;
import org.whinhead.state.record.LogRecord;
import org.whinhead.state.record.RecordId;
import org.whinhead.state.settings.ChangeOutcome;
import org.whinhead.state.settings.SettingsState;

/** Checks settings, notes and leases against all records that the log ever stored. */
final class StateOracle {

    private final FakeWorld mWorld;
    private final Map<DaemonId, Map<String, Long>> mSeenRevisions = new HashMap<>();

    StateOracle(final FakeWorld world) {
        mWorld = world;
    }

    /** Checks that a daemon's revisions never decrease and that at most one daemon may act. */
    void check(final FakeDaemon daemon, final Instant now) {
        final FoldState state = daemon.state().view().state();
        final Map<String, Long> seen =
                mSeenRevisions.computeIfAbsent(daemon.id(), id -> new TreeMap<>());
        for (final String path : state.settings().history().keySet()) {
            final long revision = state.settings().revisionNumber(path);
            final long last = seen.merge(path, revision, Math::max);
            require(revision >= last, path + " reverted to an older revision on " + daemon.id());
        }
        final long holders =
                mWorld.daemons().stream()
                        .filter(FakeDaemon::isAlive)
                        .filter(each -> each.state().elector().canAct(now))
                        .count();
        require(holders <= 1, "number of daemons that may act on the lease: " + holders);
    }

    /** Returns a path's document after a replay of all records. */
    Optional<String> documentInForce(final String path) {
        final Map<String, Long> inForce = new TreeMap<>();
        replay(inForce, new HashMap<>());
        return Optional.ofNullable(inForce.get(path))
                .map(
                        offset ->
                                mWorld.log()
                                        .allEntries(FakeLog.FLEET)
                                        .get(offset.intValue())
                                        .record())
                .flatMap(record -> ((LogRecord.SettingChanged) record).document());
    }

    int daemonsWithNewestSettings() {
        final Map<String, Long> inForce = new TreeMap<>();
        replay(inForce, new HashMap<>());
        return (int)
                mWorld.daemons().stream()
                        .filter(FakeDaemon::isAlive)
                        .filter(daemon -> revisions(daemon).equals(inForce))
                        .count();
    }

    boolean isSettled() {
        return daemonsWithNewestSettings()
                == mWorld.daemons().stream().filter(FakeDaemon::isAlive).count();
    }

    private static Map<String, Long> revisions(final FakeDaemon daemon) {
        final SettingsState settings = daemon.state().view().state().settings();
        final Map<String, Long> revisions = new TreeMap<>();
        settings.history()
                .forEach((path, entries) -> revisions.put(path, settings.revisionNumber(path)));
        return revisions;
    }

    /** Checks that all live daemons agree with the log and each operator got the right outcome. */
    void checkSettled() {
        final Map<String, Long> inForce = new TreeMap<>();
        final Map<String, Long> won = new HashMap<>();
        replay(inForce, won);
        for (final FakeDaemon daemon : mWorld.daemons()) {
            if (daemon.isAlive()) {
                final Map<String, Long> revisions = revisions(daemon);
                require(
                        revisions.equals(inForce),
                        daemon.id() + " has revisions " + revisions + " instead of " + inForce);
            }
        }
        checkNotes();
        for (final FakeOperator.Change change : mWorld.operator().changes()) {
            require(change.outcome().isPresent(), "no outcome of change " + change.name());
            final ChangeOutcome outcome = change.outcome().get();
            final boolean reportedWon = outcome.result() == ChangeOutcome.Result.WON;
            require(
                    reportedWon == won.containsKey(change.name()),
                    "wrong outcome reported: " + outcome);
        }
    }

    /** Checks that a note counts only if it was made under the lease in force at its offset. */
    private void checkNotes() {
        final List<LogEntry> entries = mWorld.log().allEntries(FakeLog.FLEET);
        for (final FakeDaemon daemon : mWorld.daemons()) {
            if (daemon.isAlive()) {
                final FoldState state = daemon.state().view().state();
                final NoteReplay replay = new NoteReplay();
                entries.subList(0, (int) state.asOf()).forEach(replay::apply);
                final Set<String> notes =
                        state.notes().getOrDefault(DaemonState.DUTY, Map.of()).keySet();
                require(
                        notes.equals(replay.openNotes()),
                        "open notes " + notes + " instead of " + replay.openNotes());
            }
        }
    }

    private void replay(final Map<String, Long> inForce, final Map<String, Long> won) {
        final List<LogEntry> entries = mWorld.log().allEntries(FakeLog.FLEET);
        final Set<RecordId> seen = new HashSet<>();
        final Set<String> decided = new HashSet<>();
        for (final LogEntry entry : entries) {
            if (seen.add(entry.record().id())
                    && entry.record() instanceof LogRecord.SettingChanged change
                    && decided.add(change.changeId())
                    && change.path().startsWith("/" + change.author() + "/")
                    && !change.document().orElse("").contains("wrong")
                    && inForce.getOrDefault(change.path(), LogRecord.NONE)
                            == change.baseRevision()) {
                inForce.put(change.path(), entry.offset());
                won.put(change.changeId(), entry.offset());
            }
        }
    }

    private static void require(final boolean holds, final String message) {
        if (!holds) {
            throw new AssertionError(message);
        }
    }
}
