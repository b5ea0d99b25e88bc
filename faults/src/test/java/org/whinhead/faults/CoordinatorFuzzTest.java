package org.whinhead.faults;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;
import org.whinhead.faults.fuzz.FuzzAction;
import org.whinhead.faults.world.FakeWorld;

/**
 * Runs random faults in random order and the checks of {@link FakeWorld#settleAndCheck}: every
 * caller receives its whole answer once or a refusal with the right verdict, a non-idempotent
 * request runs at most once, a planned stop interrupts no request, and no work is left unfinished.
 */
class CoordinatorFuzzTest {

    private static final int MAX_ACTIONS = 60;
    private static final long SEED = 20261202;

    /** Adds one action to the chain. */
    private static final class AnyAction implements Action.Independent<FakeWorld> {
        @Override
        public Arbitrary<Transformer<FakeWorld>> transformer() {
            final Arbitrary<FuzzAction> common =
                    Arbitraries.of(FuzzAction.CHAT, FuzzAction.CALL, FuzzAction.WAIT);
            final Arbitrary<FuzzAction> actions =
                    Arbitraries.oneOf(common, Arbitraries.of(FuzzAction.class));
            return Combinators.combine(actions, Arbitraries.integers().between(0, 100))
                    .as(AnyAction::transform);
        }

        private static Transformer<FakeWorld> transform(final FuzzAction action, final int n) {
            return Transformer.mutate(action + " " + n, world -> action.apply(world, n));
        }
    }

    @Provide
    Arbitrary<ActionChain<FakeWorld>> chains() {
        return ActionChain.startWith(() -> new FakeWorld(SEED, 2, 3, 2))
                .withAction(new AnyAction())
                .withMaxTransformations(MAX_ACTIONS);
    }

    @Property(seed = "20261202", tries = 300)
    void invariantsHoldForAnyActionChain(@ForAll("chains") final ActionChain<FakeWorld> chain) {
        chain.run().settleAndCheck();
    }
}
