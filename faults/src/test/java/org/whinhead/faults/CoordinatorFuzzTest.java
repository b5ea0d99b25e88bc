package org.whinhead.faults;

import java.util.List;
import java.util.function.ObjIntConsumer;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;
import org.whinhead.faults.world.FakeBackend;
import org.whinhead.faults.world.FakeCaller;
import org.whinhead.faults.world.FakeWorld;

/**
 * Any faults in any order, against the oracle of {@link FakeWorld#settleAndCheck}: every caller
 * gets its whole answer once or a refusal whose verdict is right, a non-idempotent request runs at
 * most once, a planned stop cuts nothing, and nothing is left over.
 */
class CoordinatorFuzzTest {

    private static final int MAX_STEPS = 60;
    private static final long SEED = 20261202;

    /** One thing that happens, to the n-th of whatever it concerns. */
    private enum Step {
        CHAT((world, n) -> world.chat(1 + n % 60, n % 3 != 0, n % 4 != 0)),
        CALL((world, n) -> world.call(n % 3 == 0)),
        WAIT((world, n) -> world.run(n * 7L)),
        KILL((world, n) -> pick(world.backends(), n).setMode(FakeBackend.Mode.DEAD)),
        FREEZE((world, n) -> pick(world.backends(), n).setMode(FakeBackend.Mode.FROZEN)),
        REFUSE((world, n) -> pick(world.backends(), n).setMode(FakeBackend.Mode.REFUSING)),
        HEAL((world, n) -> pick(world.backends(), n).setMode(FakeBackend.Mode.UP)),
        CUT((world, n) -> pick(world.backends(), n).cutConnections()),
        LEAVE((world, n) -> world.leave(pick(world.backends(), n), 20L * n)),
        ADD((world, n) -> world.addBackend(n % 2 == 0)),
        DAEMON_DIES((world, n) -> pick(world.daemons(), n).die()),
        DAEMON_STOPS((world, n) -> pick(world.daemons(), n).stop(500 + 20L * n)),
        DAEMON_STARTS((world, n) -> world.addDaemon()),
        DAEMON_PAUSES((world, n) -> pick(world.daemons(), n).pause(250L * n)),
        CALLER_LEAVES((world, n) -> world.callers().stream().skip(n).forEach(FakeCaller::leave)),
        CALLERS_DROP((world, n) -> world.callers().stream().skip(n).forEach(FakeCaller::cutOff)),
        CLAIMS((world, n) -> world.setClaimsOut(n % 2 == 0)),
        LOSS((world, n) -> world.setLossPercent(n % 4));

        private final ObjIntConsumer<FakeWorld> mWork;

        Step(final ObjIntConsumer<FakeWorld> work) {
            mWork = work;
        }

        private static <T> T pick(final List<T> all, final int n) {
            return all.get(n % all.size());
        }
    }

    /** Adds one step to the chain. */
    private static final class AnyStep implements Action.Independent<FakeWorld> {
        @Override
        public Arbitrary<Transformer<FakeWorld>> transformer() {
            final Arbitrary<Step> common = Arbitraries.of(Step.CHAT, Step.CALL, Step.WAIT);
            final Arbitrary<Step> steps = Arbitraries.oneOf(common, Arbitraries.of(Step.class));
            return Combinators.combine(steps, Arbitraries.integers().between(0, 100))
                    .as(AnyStep::transform);
        }

        private static Transformer<FakeWorld> transform(final Step step, final int n) {
            return Transformer.mutate(step + " " + n, world -> step.mWork.accept(world, n));
        }
    }

    @Provide
    Arbitrary<ActionChain<FakeWorld>> chains() {
        return ActionChain.startWith(() -> new FakeWorld(SEED, 2, 3, 2))
                .withAction(new AnyStep())
                .withMaxTransformations(MAX_STEPS);
    }

    @Property(seed = "20261202", tries = 300)
    void promisesHold(@ForAll("chains") final ActionChain<FakeWorld> chain) {
        chain.run().settleAndCheck();
    }
}
