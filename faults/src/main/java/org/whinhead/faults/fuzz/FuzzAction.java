package org.whinhead.faults.fuzz;

import java.util.List;
import java.util.function.ObjIntConsumer;
import org.whinhead.faults.world.FakeBackend;
import org.whinhead.faults.world.FakeCaller;
import org.whinhead.faults.world.FakeFleet;
import org.whinhead.faults.world.FakeWorld;

/** An action of a random sequence: a request, a fault, its end, or the passing of time. */
public enum FuzzAction {
    CHAT((world, n) -> world.submitChat(1 + n % 60, n % 3 != 0, n % 4 != 0)),
    CALL((world, n) -> world.submitCall(n % 3 == 0)),
    WAIT((world, n) -> world.advance(n * 7L)),
    KILL((world, n) -> pick(world.backends(), n).setMode(FakeBackend.Mode.DEAD)),
    FREEZE((world, n) -> pick(world.backends(), n).setMode(FakeBackend.Mode.FROZEN)),
    REFUSE((world, n) -> pick(world.backends(), n).setMode(FakeBackend.Mode.REFUSING)),
    HEAL((world, n) -> pick(world.backends(), n).setMode(FakeBackend.Mode.UP)),
    CUT((world, n) -> pick(world.backends(), n).cutConnections()),
    LEAVE((world, n) -> world.reclaim(pick(world.backends(), n), 20L * n)),
    ADD((world, n) -> world.addBackend(n % 2 == 0)),
    DAEMON_DIES((world, n) -> pick(world.daemons(), n).crash()),
    DAEMON_STOPS((world, n) -> pick(world.daemons(), n).stop(500 + 20L * n)),
    DAEMON_STARTS((world, n) -> world.addDaemon()),
    DAEMON_PAUSES((world, n) -> pick(world.daemons(), n).pause(250L * n)),
    CALLER_LEAVES((world, n) -> world.callers().stream().skip(n).forEach(FakeCaller::disconnect)),
    CALLERS_DROP(
            (world, n) -> world.callers().stream().skip(n).forEach(FakeCaller::loseConnection)),
    CLAIMS((world, n) -> world.setLogOut(n % 2 == 0)),
    LOSS((world, n) -> world.setLossPercent(n % 4)),
    SETTING((world, n) -> changeSetting(world, n)),
    LOG_SLOW((world, n) -> world.log().setExtraLatency(n % 2 * 20 * n)),
    LOG_CAP((world, n) -> world.log().setAppendCap(n % 2 == 0 ? Integer.MAX_VALUE : 1 + n % 5)),
    LOG_ANSWERS((world, n) -> world.log().loseAnswers(n % 10)),
    LOG_LATE((world, n) -> world.log().delayAppends(n % 10)),
    STARTS((world, n) -> world.fleet().cloud().setRefusingStarts(n % 2 == 0)),
    ORDERS_SLOW((world, n) -> world.fleet().setOrderDelayMillis(1 + n % 2 * 60 * n)),
    LISTS((world, n) -> world.fleet().vmList().setFrozen(n % 2 == 0)),
    REPORTS((world, n) -> world.fleet().setReportsFrozen(n % 2 == 0));

    private final ObjIntConsumer<FakeWorld> mEffect;

    FuzzAction(final ObjIntConsumer<FakeWorld> effect) {
        mEffect = effect;
    }

    /**
     * Applies the action to a world.
     *
     * @param world the world
     * @param n the index of the affected object, or an amount
     */
    public void apply(final FakeWorld world, final int n) {
        mEffect.accept(world, n);
    }

    private static void changeSetting(final FakeWorld world, final int n) {
        if (n % 2 == 0) {
            world.operator().change("ops", FakeFleet.POOL_PATH, Integer.toString(1 + n));
        } else {
            final String author = n % 5 == 0 ? "other" : "team";
            world.operator().change(author, "/team/" + n % 4, n % 7 == 0 ? "wrong" : "" + n);
        }
    }

    private static <T> T pick(final List<T> all, final int n) {
        return all.get(n % all.size());
    }
}
