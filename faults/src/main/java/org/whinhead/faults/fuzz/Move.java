package org.whinhead.faults.fuzz;

import java.util.List;
import java.util.function.ObjIntConsumer;
import org.whinhead.faults.world.FakeBackend;
import org.whinhead.faults.world.FakeCaller;
import org.whinhead.faults.world.FakeFleet;
import org.whinhead.faults.world.FakeWorld;

/** One thing that happens in a chain, to the n-th of whatever it concerns. */
public enum Move {
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
    LOSS((world, n) -> world.setLossPercent(n % 4)),
    SETTING((world, n) -> change(world, n)),
    LOG_SLOW((world, n) -> world.log().setSlow(n % 2 * 20 * n)),
    LOG_CAP((world, n) -> world.log().setCap(n % 2 == 0 ? Integer.MAX_VALUE : 1 + n % 5)),
    LOG_ANSWERS((world, n) -> world.log().loseAnswers(n % 10)),
    LOG_LATE((world, n) -> world.log().landLate(n % 10)),
    STARTS((world, n) -> world.fleet().cloud().setRefusing(n % 2 == 0)),
    ORDERS_SLOW((world, n) -> world.fleet().setOrderDelay(1 + n % 2 * 60 * n)),
    LISTS((world, n) -> world.fleet().vmList().setFrozen(n % 2 == 0)),
    REPORTS((world, n) -> world.fleet().setReportsFrozen(n % 2 == 0));

    private final ObjIntConsumer<FakeWorld> mWork;

    Move(final ObjIntConsumer<FakeWorld> work) {
        mWork = work;
    }

    /** Lets it happen. */
    public void happen(final FakeWorld world, final int n) {
        mWork.accept(world, n);
    }

    private static void change(final FakeWorld world, final int n) {
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
