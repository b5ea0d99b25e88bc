package org.whinhead.faults.matrix;

import java.util.Optional;
import java.util.function.BooleanSupplier;
import org.whinhead.faults.world.FakeBackend;
import org.whinhead.faults.world.FakeCaller;
import org.whinhead.faults.world.FakeDaemon;
import org.whinhead.faults.world.FakeFleet;
import org.whinhead.faults.world.FakeWorld;

/** A running world for one cell of the matrix, with the request that the step drives, if any. */
public final class FaultScenario {

    private static final int DAEMONS = 3;
    private static final int ENGINES = 6;
    private static final int SERVICES = 3;
    private static final int WARM_UP_MILLIS = 2_500;
    private static final int OTHER_REQUESTS = 6;
    private static final int MAX_WAIT_MILLIS = 12_000;

    private final FakeWorld mWorld;
    private Optional<FakeCaller> mCaller = Optional.empty();
    private int mVersion = 1;

    /** Creates a world with a holder of the fleet lease, applied settings and open requests. */
    FaultScenario(final long seed) {
        mWorld = new FakeWorld(seed, DAEMONS, ENGINES, SERVICES);
        mWorld.operator().change("team", "/team/budget", "100");
        mWorld.advance(WARM_UP_MILLIS);
        for (int number = 0; number < OTHER_REQUESTS; number++) {
            mWorld.submitChat(20 + 10 * number, number % 2 == 0, number % 3 != 0);
            mWorld.submitCall(number % 2 == 0);
        }
    }

    FakeWorld world() {
        return mWorld;
    }

    void setCaller(final FakeCaller caller) {
        mCaller = Optional.of(caller);
    }

    FakeCaller caller() {
        return mCaller.orElseThrow();
    }

    /** Advances time until the step is reached; fails after 12 s of simulated time. */
    void runUntil(final BooleanSupplier reached) {
        for (int millis = 0; millis < MAX_WAIT_MILLIS; millis++) {
            if (reached.getAsBoolean()) {
                return;
            }
            mWorld.advance(1);
        }
        throw new IllegalStateException("the step was not reached");
    }

    /** Submits a settings change to the next version of the model. */
    void changeVersion() {
        mVersion++;
        mWorld.operator().change("ops", FakeFleet.POOL_PATH, Integer.toString(mVersion));
    }

    /** Returns the back end that processes the request, or else the first serving one. */
    FakeBackend backend() {
        return mCaller.flatMap(caller -> mWorld.fleet().backendProcessing(caller.id()))
                .or(() -> mWorld.backends().stream().filter(FakeBackend::isServing).findFirst())
                .orElseThrow();
    }

    /** Returns the daemon that serves the request, or else {@link #leaseHolder}. */
    FakeDaemon daemon() {
        return mCaller.flatMap(FakeCaller::daemon)
                .filter(FakeDaemon::isAlive)
                .orElseGet(this::leaseHolder);
    }

    /** Returns the holder of the fleet lease, or else the first live daemon, or else a new one. */
    FakeDaemon leaseHolder() {
        return mWorld.leaseHolder()
                .or(() -> mWorld.daemons().stream().filter(FakeDaemon::isAlive).findFirst())
                .orElseGet(mWorld::addDaemon);
    }
}
