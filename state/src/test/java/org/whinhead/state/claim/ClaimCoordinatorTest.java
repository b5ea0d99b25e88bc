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

    // A caller whose connection broke tries the same payment at another daemon. Appends are
    // refused,
    // lost before, after or long after their effect, daemons are paused, crash and start again, and
    // records expire. The payment must not be dispatched twice within the window.
    @Property(seed = "20261", tries = 1000)
    void noKeyIsGrantedTwiceWithinTheWindow(
            @ForAll("moves") final ActionChain<ClaimSimulation> moves) {
        final ClaimSimulation fleet =
                moves.withInvariant("one grant", ClaimCoordinatorTest::grantsAreWindowsApart).run();
        fleet.recover();
        grantsAreWindowsApart(fleet);
        for (int key = 0; key < 3; key++) {
            keyOfAttemptsThatNeverRanIsFree(fleet, key);
        }
    }

    private static void grantsAreWindowsApart(final ClaimSimulation fleet) {
        for (final List<Instant> grants : fleet.grants().values()) {
            for (int next = 1; next < grants.size(); next++) {
                assertThat(Duration.between(grants.get(next - 1), grants.get(next)))
                        .isGreaterThan(ClaimSimulation.WINDOW.minus(Duration.ofSeconds(2)));
            }
        }
    }

    // After the faults a key that nobody ran must be free again, unless a claimant crashed before
    // it could withdraw.
    private static void keyOfAttemptsThatNeverRanIsFree(
            final ClaimSimulation fleet, final int key) {
        if (fleet.crashed() || fleet.grants().containsKey(ClaimSimulation.key(key))) {
            return;
        }
        final long attempt = fleet.claim(0, key);
        fleet.recover();
        assertThat(fleet.decided().get(attempt)).isEqualTo(ClaimResult.GRANTED);
    }

    // A daemon sends a claim, the answer is lost and the log does not answer until the deadline.
    // The
    // caller is told "not run" and tries again; only then does the first record land, late. The
    // second try must be granted, for the first one never ran.
    @Example
    void lateClaimOfWithdrawnAttemptDoesNotBlockKey() {
        final ClaimSimulation fleet = new ClaimSimulation();
        final long first = fleet.claim(0, 0);
        fleet.advance(Duration.ofMillis(20));
        fleet.write(0, AppendOutcome.LOST_AND_DELAYED);
        fleet.advance(Duration.ofSeconds(2));
        fleet.write(0, AppendOutcome.DONE);
        assertThat(fleet.decided()).containsEntry(first, ClaimResult.UNAVAILABLE);
        fleet.recover();
        final long second = fleet.claim(1, 0);
        fleet.recover();
        assertThat(fleet.decided()).containsEntry(second, ClaimResult.GRANTED);
        final long third = fleet.claim(2, 0);
        fleet.recover();
        assertThat(fleet.decided()).containsEntry(third, ClaimResult.HELD_ELSEWHERE);
    }

    // A granted request found no endpoint and was refused as not run. Its caller tries again at
    // another daemon and must be served, since the first attempt was withdrawn.
    @Example
    void withdrawnGrantFreesKey() {
        final ClaimSimulation fleet = new ClaimSimulation();
        final long first = fleet.claim(0, 0);
        fleet.recover();
        assertThat(fleet.decided()).containsEntry(first, ClaimResult.GRANTED);
        fleet.withdraw(0, 0, first);
        fleet.recover();
        final long second = fleet.claim(1, 0);
        fleet.recover();
        assertThat(fleet.decided()).containsEntry(second, ClaimResult.GRANTED);
    }

    // The log is out. A claim that was never sent ends as unavailable and leaves no record behind.
    @Example
    void claimThatWasNeverSentLeavesNoRecord() {
        final ClaimSimulation fleet = new ClaimSimulation();
        fleet.log().down(true);
        fleet.claim(0, 0);
        fleet.advance(Duration.ofMillis(20));
        fleet.write(0, AppendOutcome.DONE);
        final long unsent = fleet.claim(0, 1);
        fleet.advance(Duration.ofSeconds(3));
        fleet.write(0, AppendOutcome.DONE);
        assertThat(fleet.decided()).containsEntry(unsent, ClaimResult.UNAVAILABLE);
        fleet.recover();
        assertThat(fleet.log().allEntries()).hasSize(2);
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
                .withAction(2, onDaemon("land", (fleet, index) -> fleet.log().appendDelayed(index)))
                .withAction(1, onDaemon("outage", (fleet, x) -> fleet.log().down(x == 0)))
                .withMaxTransformations(80);
    }

    private static Action.Independent<ClaimSimulation> claim() {
        return () ->
                Combinators.combine(DAEMON_INDEX, DAEMON_INDEX)
                        .as(
                                (member, key) ->
                                        Transformer.mutate(
                                                "claim " + key + " at " + member,
                                                fleet -> fleet.claim(member, key)));
    }

    private static Action.Independent<ClaimSimulation> write() {
        return () ->
                Combinators.combine(DAEMON_INDEX, Arbitraries.of(AppendOutcome.class))
                        .as(
                                (member, fate) ->
                                        Transformer.mutate(
                                                "write " + fate + " at " + member,
                                                fleet -> fleet.write(member, fate)));
    }

    private static Action.Independent<ClaimSimulation> pass(final int least, final int most) {
        return () ->
                Arbitraries.integers()
                        .between(least, most)
                        .map(
                                millis ->
                                        Transformer.mutate(
                                                "pass " + millis,
                                                fleet -> fleet.advance(Duration.ofMillis(millis))));
    }

    private static Action.Independent<ClaimSimulation> onDaemon(
            final String name, final ObjIntConsumer<ClaimSimulation> move) {
        return () ->
                DAEMON_INDEX.map(
                        member ->
                                Transformer.mutate(
                                        name + " " + member, fleet -> move.accept(fleet, member)));
    }
}
