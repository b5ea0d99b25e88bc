package org.whinhead.faults.matrix;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.faults.world.FakeBackend;
import org.whinhead.faults.world.FakeDaemon;
import org.whinhead.faults.world.FakeLog;
import org.whinhead.faults.world.FakeWorld;

/** The faults of the matrix, each with its injection. */
public enum Fault {
    VM_RECLAIMED("the endpoint's VM is reclaimed with notice", Fault::reclaim),
    VM_LOST("the endpoint's VM is gone without notice", Fault::killEndpoint, Step.Target.ENDPOINT),
    VM_LOST_IN_RECLAIM("the VM dies partway through its notice", Fault::killDuringReclaim),
    DOMAIN_RECLAIMED("a whole failure domain is reclaimed", Fault::reclaimDomain),
    RECLAIM_IN_STOP("an endpoint is reclaimed while the daemon stops", Fault::reclaimDuringStop),
    STARTS_REFUSED("the cloud refuses starts after a loss", Fault::refuseStarts),
    ENDPOINT_FROZEN("the endpoint stands still", Fault::freeze, Step.Target.ENDPOINT),
    CONNECTION_CUT(
            "connections to the endpoint break", Fault::cutConnections, Step.Target.ENDPOINT),
    DAEMON_RECLAIMED("the daemon's VM is reclaimed with notice", Fault::stopDaemon),
    DAEMON_LOST("the daemon is gone without notice", scenario -> scenario.daemon().crash()),
    DAEMON_LOST_IN_STOP("the daemon dies partway through its stop", Fault::killDaemonDuringStop),
    DAEMON_PAUSED(
            "the daemon is paused past its lease", scenario -> scenario.daemon().pause(7_000)),
    DAEMON_PAUSED_LONG("it is paused past the log's retention", Fault::pauseLong),
    HOLDER_PAUSED("the holder is paused and its orders arrive late", Fault::pauseHolder),
    HOLDER_LOST("the holder dies and what it noted lands under the next lease", Fault::killHolder),
    CALLER_CUT("the caller's connection breaks", Fault::cutCaller, Step.Target.CALLER),
    CALLER_LEFT(
            "the caller hangs up", scenario -> scenario.caller().disconnect(), Step.Target.CALLER),
    EVENTS_LOST("events get lost and come twice", scenario -> scenario.world().setLossPercent(3)),
    LOG_OUT("the log is out for six seconds", Fault::interruptLog),
    LOG_SLOW(
            "each call of the log takes a second",
            scenario -> scenario.world().log().setExtraLatency(1_000)),
    LOG_OVER_CAP(
            "the log takes two appends a second",
            scenario -> scenario.world().log().setAppendCap(2)),
    LOG_ANSWER_LOST("appends take effect and lose their answers", Fault::loseAnswers),
    LOG_APPEND_LATE("appends lose their answers and land late", Fault::delayAppends),
    OPERATORS_RACE("operators change one path at the same time", Fault::changeConcurrently),
    LISTS_FROZEN("VM list and load reports stand still", Fault::freezeLists);

    private static final int NOTICE_MILLIS = 1_500;
    private static final int LONG_NOTICE_MILLIS = 5_000;
    private static final int AFFECTED_APPENDS = 12;

    private final String mDescription;
    private final Consumer<FaultScenario> mInjection;
    private final Step.Target mTarget;

    Fault(final String description, final Consumer<FaultScenario> injection) {
        this(description, injection, Step.Target.ANY);
    }

    Fault(
            final String description,
            final Consumer<FaultScenario> injection,
            final Step.Target target) {
        mDescription = description;
        mInjection = injection;
        mTarget = target;
    }

    public String description() {
        return mDescription;
    }

    /** Returns the reason why the fault can't occur at a step; empty if it can. */
    Optional<String> impossibleReasonAt(final Step step) {
        if (step.hasTarget(mTarget)) {
            return Optional.empty();
        }
        return Optional.of(
                mTarget == Step.Target.CALLER
                        ? "no caller takes part in this step"
                        : "no endpoint works for it at this step");
    }

    void inject(final FaultScenario scenario) {
        mInjection.accept(scenario);
    }

    private static void reclaim(final FaultScenario scenario) {
        scenario.world().reclaim(scenario.backend(), LONG_NOTICE_MILLIS);
    }

    private static void killEndpoint(final FaultScenario scenario) {
        scenario.backend().setMode(FakeBackend.Mode.DEAD);
    }

    private static void killDuringReclaim(final FaultScenario scenario) {
        final FakeBackend backend = scenario.backend();
        scenario.world().reclaim(backend, NOTICE_MILLIS);
        scenario.world().advance(150);
        backend.setMode(FakeBackend.Mode.DEAD);
    }

    private static void reclaimDomain(final FaultScenario scenario) {
        final FailureDomain domain = scenario.backend().endpoint().vm().domain();
        final List<FakeBackend> backends =
                scenario.world().backends().stream()
                        .filter(each -> each.endpoint().vm().domain().equals(domain))
                        .toList();
        backends.forEach(backend -> scenario.world().reclaim(backend, LONG_NOTICE_MILLIS));
        scenario.daemon().stop(NOTICE_MILLIS);
    }

    private static void reclaimDuringStop(final FaultScenario scenario) {
        final FakeBackend backend = scenario.backend();
        scenario.daemon().stop(NOTICE_MILLIS);
        scenario.world().advance(300);
        scenario.world().reclaim(backend, NOTICE_MILLIS);
    }

    private static void refuseStarts(final FaultScenario scenario) {
        scenario.world().fleet().cloud().setRefusingStarts(true);
        killEndpoint(scenario);
    }

    private static void freeze(final FaultScenario scenario) {
        scenario.backend().setMode(FakeBackend.Mode.FROZEN);
    }

    private static void cutConnections(final FaultScenario scenario) {
        scenario.backend().cutConnections();
    }

    private static void stopDaemon(final FaultScenario scenario) {
        scenario.daemon().stop(NOTICE_MILLIS);
    }

    private static void killDaemonDuringStop(final FaultScenario scenario) {
        final FakeDaemon daemon = scenario.daemon();
        daemon.stop(NOTICE_MILLIS);
        scenario.world().advance(NOTICE_MILLIS / 2);
        daemon.crash();
    }

    private static void pauseLong(final FaultScenario scenario) {
        scenario.daemon().pause(FakeLog.RETENTION.plusSeconds(5).toMillis());
    }

    /** Sends an order before the pause that arrives after the first order of the next holder. */
    private static void pauseHolder(final FaultScenario scenario) {
        final FakeWorld world = scenario.world();
        final FakeDaemon holder = scenario.leaseHolder();
        world.fleet().setOrderDelayMillis(8_000);
        scenario.changeVersion();
        world.advance(1_500);
        holder.pause(10_000);
        world.fleet().setOrderDelayMillis(3);
        world.advance(6_000);
        scenario.changeVersion();
    }

    private static void killHolder(final FaultScenario scenario) {
        final FakeDaemon holder = scenario.leaseHolder();
        scenario.changeVersion();
        scenario.world().advance(200);
        scenario.world().log().delayAppends(2);
        scenario.world().advance(400);
        holder.crash();
    }

    private static void cutCaller(final FaultScenario scenario) {
        scenario.caller().loseConnection();
    }

    private static void interruptLog(final FaultScenario scenario) {
        scenario.world().log().setOut(true);
        scenario.world().clock().schedule(6_000, () -> scenario.world().log().setOut(false));
    }

    private static void loseAnswers(final FaultScenario scenario) {
        scenario.world().log().loseAnswers(AFFECTED_APPENDS);
    }

    private static void delayAppends(final FaultScenario scenario) {
        scenario.world().log().delayAppends(AFFECTED_APPENDS);
    }

    private static void changeConcurrently(final FaultScenario scenario) {
        scenario.changeVersion();
        scenario.changeVersion();
        scenario.world().operator().change("team", "/team/budget", "200");
        scenario.world().operator().change("team", "/team/budget", "wrong");
        scenario.world().operator().change("other", "/team/budget", "300");
    }

    private static void freezeLists(final FaultScenario scenario) {
        scenario.world().fleet().vmList().setFrozen(true);
        scenario.world().fleet().setReportsFrozen(true);
        scenario.backend().setMode(FakeBackend.Mode.DEAD);
    }
}
