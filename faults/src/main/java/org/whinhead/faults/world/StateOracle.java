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

/** Checks settings and leases against all records that the log ever took. */
final class StateOracle {

    private final FakeWorld mWorld;
    private final Map<DaemonId, Map<String, Long>> mSeenRevisions = new HashMap<>();

    StateOracle(final FakeWorld world) {
        mWorld = world;
    }

    /** Checks one daemon: nothing is set back, and it alone may act. */
    void check(final FakeDaemon daemon, final Instant now) {
        final FoldState state = daemon.state().view().state();
        final Map<String, Long> seen =
                mSeenRevisions.computeIfAbsent(daemon.id(), id -> new TreeMap<>());
        for (final String path : state.settings().history().keySet()) {
            final long revision = state.settings().revisionNumber(path);
            final long last = seen.merge(path, revision, Math::max);
            require(revision >= last, path + " set back on " + daemon.id());
        }
        final long holders =
                mWorld.daemons().stream()
                        .filter(FakeDaemon::isAlive)
                        .filter(each -> each.state().elector().canAct(now))
                        .count();
        require(holders <= 1, "daemons that may act: " + holders);
    }

    /** Returns the document that stands in force after all records. */
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
                .forEach((path, all) -> revisions.put(path, settings.revisionNumber(path)));
        return revisions;
    }

    /** Checks after all faults: every change has its one outcome, in force on every daemon. */
    void checkSettled() {
        final Map<String, Long> inForce = new TreeMap<>();
        final Map<String, Long> won = new HashMap<>();
        replay(inForce, won);
        for (final FakeDaemon daemon : mWorld.daemons()) {
            if (daemon.isAlive()) {
                final Map<String, Long> revisions = revisions(daemon);
                require(revisions.equals(inForce), daemon.id() + " " + revisions + inForce);
            }
        }
        checkNotes();
        for (final FakeOperator.Change change : mWorld.operator().changes()) {
            require(change.outcome().isPresent(), "no outcome of " + change.name());
            final ChangeOutcome outcome = change.outcome().get();
            final boolean toldWon = outcome.result() == ChangeOutcome.Result.WON;
            require(toldWon == won.containsKey(change.name()), "told " + outcome);
        }
    }

    /** A note counts only under the lease in force where it stands in the log. */
    private void checkNotes() {
        final List<LogEntry> all = mWorld.log().allEntries(FakeLog.FLEET);
        for (final FakeDaemon daemon : mWorld.daemons()) {
            if (daemon.isAlive()) {
                final FoldState state = daemon.state().view().state();
                final NoteReplay replay = new NoteReplay();
                all.subList(0, (int) state.asOf()).forEach(replay::apply);
                final Set<String> notes =
                        state.notes().getOrDefault(DaemonState.DUTY, Map.of()).keySet();
                require(
                        notes.equals(replay.openNotes()),
                        "notes " + notes + " in place of " + replay.openNotes());
            }
        }
    }

    private void replay(final Map<String, Long> inForce, final Map<String, Long> won) {
        final List<LogEntry> all = mWorld.log().allEntries(FakeLog.FLEET);
        final Set<RecordId> copies = new HashSet<>();
        final Set<String> decided = new HashSet<>();
        for (final LogEntry entry : all) {
            if (copies.add(entry.record().id())
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

    private static void require(final boolean holds, final String what) {
        if (!holds) {
            throw new AssertionError(what);
        }
    }
}
