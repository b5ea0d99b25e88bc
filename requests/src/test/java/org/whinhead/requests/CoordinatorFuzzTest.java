package org.whinhead.requests;

import java.time.Duration;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.state.Action;
import net.jqwik.api.state.ActionChain;
import net.jqwik.api.state.Transformer;
import org.whinhead.requests.fake.FakeBackend;
import org.whinhead.requests.fake.FakeCaller;
import org.whinhead.requests.fake.FakeDaemon;
import org.whinhead.requests.fake.FakeWorld;

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
        CHAT {
            @Override
            void apply(final FakeWorld world, final int n) {
                world.chat(1 + n % 60, n % 3 != 0, n % 4 != 0);
            }
        },
        CALL {
            @Override
            void apply(final FakeWorld world, final int n) {
                world.call(n % 3 == 0);
            }
        },
        WAIT {
            @Override
            void apply(final FakeWorld world, final int n) {
                world.run(n * 7L);
            }
        },
        KILL {
            @Override
            void apply(final FakeWorld world, final int n) {
                pick(world.backends(), n).setMode(FakeBackend.Mode.DEAD);
            }
        },
        FREEZE {
            @Override
            void apply(final FakeWorld world, final int n) {
                pick(world.backends(), n).setMode(FakeBackend.Mode.FROZEN);
            }
        },
        REFUSE {
            @Override
            void apply(final FakeWorld world, final int n) {
                pick(world.backends(), n).setMode(FakeBackend.Mode.REFUSING);
            }
        },
        HEAL {
            @Override
            void apply(final FakeWorld world, final int n) {
                pick(world.backends(), n).setMode(FakeBackend.Mode.UP);
            }
        },
        CUT {
            @Override
            void apply(final FakeWorld world, final int n) {
                pick(world.backends(), n).cutConnections();
            }
        },
        LEAVE {
            @Override
            void apply(final FakeWorld world, final int n) {
                world.leave(pick(world.backends(), n), 20L * n);
            }
        },
        ADD {
            @Override
            void apply(final FakeWorld world, final int n) {
                if (n % 2 == 0) {
                    world.addEngine();
                } else {
                    world.addService();
                }
            }
        },
        DAEMON_DIES {
            @Override
            void apply(final FakeWorld world, final int n) {
                pick(world.daemons(), n).die();
                world.addDaemon();
            }
        },
        DAEMON_STOPS {
            @Override
            void apply(final FakeWorld world, final int n) {
                final FakeDaemon daemon = pick(world.daemons(), n);
                if (daemon.isAlive()) {
                    daemon.stop(Duration.ofMillis(500 + 20L * n));
                    world.addDaemon();
                }
            }
        },
        DAEMON_PAUSES {
            @Override
            void apply(final FakeWorld world, final int n) {
                pick(world.daemons(), n).pause(Duration.ofMillis(250L * n));
            }
        },
        CALLER_LEAVES {
            @Override
            void apply(final FakeWorld world, final int n) {
                final List<FakeCaller> callers = world.callers();
                if (!callers.isEmpty()) {
                    pick(callers, n).leave();
                }
            }
        },
        CLAIMS {
            @Override
            void apply(final FakeWorld world, final int n) {
                world.setClaimsOut(n % 2 == 0);
            }
        },
        LOSS {
            @Override
            void apply(final FakeWorld world, final int n) {
                world.setLossPercent(n % 4);
            }
        };

        abstract void apply(FakeWorld world, int n);

        private static <T> T pick(final List<T> all, final int n) {
            return all.get(n % all.size());
        }
    }

    /** Adds one step to the chain. */
    private static final class AnyStep implements Action.Independent<FakeWorld> {
        @Override
        public Arbitrary<Transformer<FakeWorld>> transformer() {
            final Arbitrary<Step> steps =
                    Arbitraries.frequencyOf(
                            Tuple.of(1, Arbitraries.of(Step.class)),
                            Tuple.of(2, Arbitraries.of(Step.CHAT, Step.CALL, Step.WAIT)));
            return Combinators.combine(steps, Arbitraries.integers().between(0, 100))
                    .as(
                            (step, n) ->
                                    Transformer.mutate(
                                            step + " " + n, world -> step.apply(world, n)));
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
