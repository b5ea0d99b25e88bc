package org.whinhead.state.claim;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
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
import org.whinhead.state.StreamClient.AppendOutcome;

class ClaimCoordinatorTest {

    private static final Arbitrary<Integer> DAEMON_INDEX = Arbitraries.integers().between(0, 2);

    // Guards against a request that is dispatched twice within the window. A caller retries at
    // another daemon after a connection failure, while appends are refused, lost or delayed,
    // daemons pause or restart, and records expire.
    @Property(seed = "20261", tries = 1000)
    void noKeyIsGrantedTwiceWithinTheWindow(
            @ForAll("moves") final ActionChain<ClaimSimulation> moves) {
        final ClaimSimulation simulation =
                moves.withInvariant("one grant", ClaimCoordinatorTest::grantsAreWindowsApart).run();
        simulation.recover();
        grantsAreWindowsApart(simulation);
        for (int key = 0; key < 3; key++) {
            keyOfAttemptsThatNeverRanIsFree(simulation, key);
        }
    }

    private static void grantsAreWindowsApart(final ClaimSimulation simulation) {
        for (final List<Instant> grants : simulation.grants().values()) {
            for (int next = 1; next < grants.size(); next++) {
                assertThat(Duration.between(grants.get(next - 1), grants.get(next)))
                        .isGreaterThan(ClaimSimulation.WINDOW.minus(Duration.ofSeconds(2)));
            }
        }
    }

    // After the faults, a key without a grant must be free unless a daemon crashed before it
    // withdrew a claim.
    private static void keyOfAttemptsThatNeverRanIsFree(
            final ClaimSimulation simulation, final int key) {
        if (simulation.crashed() || simulation.grants().containsKey(ClaimSimulation.key(key))) {
            return;
        }
        final long attempt = simulation.claim(0, key);
        simulation.recover();
        assertThat(simulation.decided().get(attempt)).isEqualTo(ClaimResult.GRANTED);
    }

    // Guards against a claim that blocks its key although its attempt never ran. The response to
    // the append is lost until the deadline, the caller retries, and the first record is appended
    // late.
    @Example
    void lateClaimOfWithdrawnAttemptDoesNotBlockKey() {
        final ClaimSimulation simulation = new ClaimSimulation();
        final long first = simulation.claim(0, 0);
        simulation.advance(Duration.ofMillis(20));
        simulation.write(0, AppendOutcome.LOST_AND_DELAYED);
        simulation.advance(Duration.ofSeconds(2));
        simulation.write(0, AppendOutcome.DONE);
        assertThat(simulation.decided()).containsEntry(first, ClaimResult.UNAVAILABLE);
        simulation.recover();
        final long second = simulation.claim(1, 0);
        simulation.recover();
        assertThat(simulation.decided()).containsEntry(second, ClaimResult.GRANTED);
        final long third = simulation.claim(2, 0);
        simulation.recover();
        assertThat(simulation.decided()).containsEntry(third, ClaimResult.HELD_ELSEWHERE);
    }

    // Guards against a key that stays blocked after its grant was withdrawn. A granted request
    // finds no endpoint and its caller retries at another daemon.
    @Example
    void withdrawnGrantFreesKey() {
        final ClaimSimulation simulation = new ClaimSimulation();
        final long first = simulation.claim(0, 0);
        simulation.recover();
        assertThat(simulation.decided()).containsEntry(first, ClaimResult.GRANTED);
        simulation.withdraw(0, 0, first);
        simulation.recover();
        final long second = simulation.claim(1, 0);
        simulation.recover();
        assertThat(simulation.decided()).containsEntry(second, ClaimResult.GRANTED);
    }

    // During a log outage, a claim that was never sent ends as unavailable and appends no record.
    @Example
    void claimThatWasNeverSentLeavesNoRecord() {
        final ClaimSimulation simulation = new ClaimSimulation();
        simulation.log().setDown(true);
        simulation.claim(0, 0);
        simulation.advance(Duration.ofMillis(20));
        simulation.write(0, AppendOutcome.DONE);
        final long unsent = simulation.claim(0, 1);
        simulation.advance(Duration.ofSeconds(3));
        simulation.write(0, AppendOutcome.DONE);
        assertThat(simulation.decided()).containsEntry(unsent, ClaimResult.UNAVAILABLE);
        simulation.recover();
        assertThat(simulation.log().allEntries()).hasSize(2);
    }

    @Provide
    Arbitrary<ActionChain<ClaimSimulation>> moves() {
        return ActionChain.startWith(ClaimSimulation::new)
                .withAction(6, claim())
                .withAction(10, write())
                .withAction(10, onDaemon("read", ClaimSimulation::read))
                .withAction(2, onDaemon("crash", ClaimSimulation::restart))
                .withAction(4, pass(1, 200))
                .withAction(2, pass(1_000, 30_000))
                .withAction(1, pass(60_000, 900_000))
                .withAction(
                        2,
                        onDaemon(
                                "land",
                                (simulation, index) -> simulation.log().appendDelayed(index)))
                .withAction(
                        1, onDaemon("outage", (simulation, x) -> simulation.log().setDown(x == 0)))
                .withMaxTransformations(80);
    }

    private static Action.Independent<ClaimSimulation> claim() {
        return () ->
                Combinators.combine(DAEMON_INDEX, DAEMON_INDEX)
                        .as(
                                (daemon, key) ->
                                        Transformer.mutate(
                                                "claim " + key + " at " + daemon,
                                                simulation -> simulation.claim(daemon, key)));
    }

    private static Action.Independent<ClaimSimulation> write() {
        return () ->
                Combinators.combine(DAEMON_INDEX, Arbitraries.of(AppendOutcome.class))
                        .as(
                                (daemon, outcome) ->
                                        Transformer.mutate(
                                                "write " + outcome + " at " + daemon,
                                                simulation -> simulation.write(daemon, outcome)));
    }

    private static Action.Independent<ClaimSimulation> pass(final int least, final int most) {
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

    private static Action.Independent<ClaimSimulation> onDaemon(
            final String name, final ObjIntConsumer<ClaimSimulation> move) {
        return () ->
                DAEMON_INDEX.map(
                        daemon ->
                                Transformer.mutate(
                                        name + " " + daemon,
                                        simulation -> move.accept(simulation, daemon)));
    }
}
