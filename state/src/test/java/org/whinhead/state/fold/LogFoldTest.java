package org.whinhead.state.fold;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.function.ObjIntConsumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;
import org.whinhead.api.model.CustomerId;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.model.VmId;
import org.whinhead.state.StreamClient.AppendOutcome;
import org.whinhead.state.record.LogEntry;
import org.whinhead.state.record.LogRecord;
import org.whinhead.state.record.RecordId;

class LogFoldTest {

    private static final Arbitrary<Integer> DAEMON_INDEX = Arbitraries.integers().between(0, 2);
    private static final Arbitrary<Integer> CHOICE = Arbitraries.integers().between(0, 11);

    // Guards against a setting that reverts to an old value and against two daemons that act as
    // lease holder at the same time. Causes are log outages, pauses past the retention or the
    // lease, late checkpoints, restarts from a peer, and lost responses with second copies, in any
    // order.
    @Property(seed = "20262", tries = 300)
    void settingsNeverRevertAndAtMostOneDaemonActs(
            @ForAll("moves") final ActionChain<FoldSimulation> moves) {
        final FoldSimulation simulation =
                moves.withInvariant("settings", FoldSimulation::checkSettings)
                        .withInvariant("lease", FoldSimulation::checkLease)
                        .run();
        simulation.recoverAndCheck();
    }

    // Guards against a daemon of an older version that accepts a change which others reject,
    // because it does not know the rules in force. It must stop before them, keep its state and
    // report it.
    @Example
    void foldBlocksBeforeUnknownRulesVersion() {
        final LogFold fold = FoldDaemon.newFold(2);
        assertThat(fold.apply(entry(0, new LogRecord.RulesActivated(id(1), 3))))
                .isEqualTo(LogFold.ApplyResult.BLOCKED);
        final LogRecord change =
                new LogRecord.SettingChanged(
                        id(2), "c", "/a", -1, Optional.of("1"), "a", "", Instant.EPOCH);
        assertThat(fold.apply(entry(1, change))).isEqualTo(LogFold.ApplyResult.GAP);
        assertThat(fold.view().blocked()).isTrue();
        assertThat(fold.nextOffset()).isZero();
    }

    // Guards against a portion that is spent twice. The response to a grant's append is lost, the
    // grant is sent again, and the first copy is appended after a later record.
    @Example
    void lateSecondCopyOfGrantIsDropped() {
        final LogFold fold = FoldDaemon.newFold();
        fold.apply(entry(0, budgetLease(1, "w", LogRecord.NONE)));
        fold.apply(entry(1, grant(2)));
        fold.apply(entry(2, new LogRecord.VmLeaving(id(3), new VmId("v"), Instant.MAX)));
        assertThat(fold.apply(entry(3, grant(2)))).isEqualTo(LogFold.ApplyResult.SECOND_COPY);
        assertThat(fold.apply(entry(2, grant(4)))).isEqualTo(LogFold.ApplyResult.ALREADY);
        assertThat(fold.view().state().grants()).hasSize(1);
    }

    // Guards against two grants of one portion. The holder of the budget duty is paused while it
    // writes a grant, another daemon claims the duty and grants again, and the first grant is
    // appended later.
    @Example
    void grantUnderReplacedLeaseHasNoEffect() {
        final LogFold fold = FoldDaemon.newFold();
        fold.apply(entry(0, budgetLease(1, "w", LogRecord.NONE)));
        fold.apply(entry(1, budgetLease(2, "next", 0)));
        assertThat(fold.apply(entry(2, grant(3)))).isEqualTo(LogFold.ApplyResult.NEW);
        assertThat(fold.view().state().grants()).isEmpty();
    }

    // Guards against a lost open order after the duty changes its holder. The successor must find
    // the order and be able to close it, but must not see a note that the old holder appended too
    // late.
    @Example
    void successorInheritsNotesAndLateNotesAreIgnored() {
        final LogFold fold = FoldDaemon.newFold();
        fold.apply(entry(0, budgetLease(1, "w", LogRecord.NONE)));
        fold.apply(entry(1, note(2, 0, "one", Optional.of("1"))));
        fold.apply(entry(2, note(3, 0, "two", Optional.of("2"))));
        fold.apply(entry(3, budgetLease(4, "next", 0)));
        fold.apply(entry(4, note(5, 0, "late", Optional.of("3"))));
        fold.apply(entry(5, note(6, 3, "one", Optional.empty())));
        assertThat(fold.view().state().notes().get(LogRecord.BudgetGrant.DUTY))
                .containsExactly(Map.entry("two", "2"));
    }

    private static LogRecord note(
            final long sequence,
            final long fencing,
            final String name,
            final Optional<String> body) {
        return new LogRecord.DutyNoted(
                id(sequence), LogRecord.BudgetGrant.DUTY, fencing, name, body);
    }

    private static LogRecord budgetLease(
            final long sequence, final String holder, final long seen) {
        return new LogRecord.LeaseTaken(
                id(sequence),
                LogRecord.BudgetGrant.DUTY,
                new DaemonId(holder),
                Duration.ofSeconds(10),
                seen);
    }

    private static LogRecord grant(final long sequence) {
        return new LogRecord.BudgetGrant(
                id(sequence), new CustomerId("c"), new DaemonId("d"), 5, 0, Instant.MAX);
    }

    // Guards against the loss of records of a newer kind. An older version writes a checkpoint, the
    // records expire, and a newer version starts from the checkpoint.
    @Example
    void unknownRecordsAreKeptInTheState() {
        final LogFold fold = FoldDaemon.newFold();
        fold.apply(entry(0, new LogRecord.Unknown(id(1), "later", "{\"x\":1}")));
        final LogFold next = FoldDaemon.newFold();
        assertThat(next.installSnapshot(fold.view().state(), FoldView.Source.LOG)).isTrue();
        assertThat(next.view().state()).isEqualTo(fold.view().state());
        assertThat(next.view().state().unknown()).hasSize(1);
    }

    private static RecordId id(final long sequence) {
        return new RecordId(new DaemonId("w"), sequence);
    }

    private static LogEntry entry(final long offset, final LogRecord record) {
        return new LogEntry(offset, Instant.EPOCH, record);
    }

    @Provide
    Arbitrary<ActionChain<FoldSimulation>> moves() {
        return ActionChain.startWith(FoldSimulation::new)
                .withAction(6, withChoice("change", FoldSimulation::change))
                .withAction(14, withOutcome("write", FoldSimulation::write))
                .withAction(16, withChoice("read", (simulation, n) -> simulation.daemon(n).read()))
                .withAction(4, withOutcome("checkpoints", FoldSimulation::exchangeCheckpoints))
                .withAction(
                        2, withChoice("publish", (simulation, n) -> simulation.daemon(n).publish()))
                .withAction(
                        2, withChoice("restart", (simulation, n) -> simulation.restart(n, false)))
                .withAction(
                        2, withChoice("from peer", (simulation, n) -> simulation.restart(n, true)))
                .withAction(
                        1, withChoice("release", (simulation, n) -> simulation.daemon(n).release()))
                .withAction(2, withChoice("land", FoldSimulation::appendDelayed))
                .withAction(1, withChoice("outage", FoldSimulation::setOutage))
                .withAction(1, withChoice("expire", FoldSimulation::expire))
                .withAction(6, pass(1, 500))
                .withAction(4, pass(1_000, 14_000))
                .withMaxTransformations(100);
    }

    private static Action.Independent<FoldSimulation> withChoice(
            final String name, final ObjIntConsumer<FoldSimulation> move) {
        return () ->
                CHOICE.map(
                        choice ->
                                Transformer.mutate(
                                        name + " " + choice,
                                        simulation -> move.accept(simulation, choice)));
    }

    private static Action.Independent<FoldSimulation> withOutcome(
            final String name, final OutcomeAction move) {
        return () ->
                Combinators.combine(DAEMON_INDEX, Arbitraries.of(AppendOutcome.class))
                        .as(
                                (daemon, outcome) ->
                                        Transformer.mutate(
                                                name + " " + outcome + " at " + daemon,
                                                simulation ->
                                                        move.run(simulation, daemon, outcome)));
    }

    private static Action.Independent<FoldSimulation> pass(final int least, final int most) {
        return () ->
                Arbitraries.integers()
                        .between(least, most)
                        .map(
                                millis ->
                                        Transformer.mutate(
                                                "pass " + millis,
                                                simulation ->
                                                        simulation.advance(
                                                                Duration.ofMillis(millis))));
    }

    private interface OutcomeAction {
        void run(FoldSimulation simulation, int daemon, AppendOutcome outcome);
    }
}
