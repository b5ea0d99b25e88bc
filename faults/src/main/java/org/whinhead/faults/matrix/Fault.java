package org.whinhead.faults.matrix;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.whinhead.api.model.FailureDomain;
import org.whinhead.faults.world.FakeBackend;
import org.whinhead.faults.world.FakeDaemon;
import org.whinhead.faults.world.FakeLog;
import org.whinhead.faults.world.FakeWorld;

/** A fault of the brief and how it is provoked. */
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
    DAEMON_LOST("the daemon is gone without notice", scene -> scene.daemon().crash()),
    DAEMON_LOST_IN_STOP("the daemon dies partway through its stop", Fault::killDaemonDuringStop),
    DAEMON_PAUSED("the daemon is paused past its lease", scene -> scene.daemon().pause(7_000)),
    DAEMON_PAUSED_LONG("it is paused past the log's retention", Fault::pauseLong),
    HOLDER_PAUSED("the holder is paused and its orders arrive late", Fault::pauseHolder),
    HOLDER_LOST("the holder dies and what it noted lands under the next lease", Fault::killHolder),
    CALLER_CUT("the caller's connection breaks", Fault::cutCaller, Step.Target.CALLER),
    CALLER_LEFT("the caller hangs up", scene -> scene.caller().disconnect(), Step.Target.CALLER),
    EVENTS_LOST("events get lost and come twice", scene -> scene.world().setLossPercent(3)),
    LOG_OUT("the log is out for six seconds", Fault::interruptLog),
    LOG_SLOW(
            "each call of the log takes a second",
            scene -> scene.world().log().setExtraLatency(1_000)),
    LOG_OVER_CAP(
            "the log takes two appends a second", scene -> scene.world().log().setAppendCap(2)),
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

    Fault(final String description, final Consumer<FaultScenario> strike) {
        this(description, strike, Step.Target.ANY);
    }

    Fault(
            final String description,
            final Consumer<FaultScenario> strike,
            final Step.Target subject) {
        mDescription = description;
        mInjection = strike;
        mTarget = subject;
    }

    public String description() {
        return mDescription;
    }

    /** Returns why it can't occur at a step; empty if it can. */
    Optional<String> impossibleReasonAt(final Step step) {
        if (step.hasTarget(mTarget)) {
            return Optional.empty();
        }
        return Optional.of(
                mTarget == Step.Target.CALLER
                        ? "no caller takes part in this step"
                        : "no endpoint works for it at this step");
    }

    void inject(final FaultScenario scene) {
        mInjection.accept(scene);
    }

    private static void reclaim(final FaultScenario scene) {
        scene.world().reclaim(scene.backend(), LONG_NOTICE_MILLIS);
    }

    private static void killEndpoint(final FaultScenario scene) {
        scene.backend().setMode(FakeBackend.Mode.DEAD);
    }

    private static void killDuringReclaim(final FaultScenario scene) {
        final FakeBackend backend = scene.backend();
        scene.world().reclaim(backend, NOTICE_MILLIS);
        scene.world().advance(150);
        backend.setMode(FakeBackend.Mode.DEAD);
    }

    private static void reclaimDomain(final FaultScenario scene) {
        final FailureDomain domain = scene.backend().endpoint().vm().domain();
        final List<FakeBackend> there =
                scene.world().backends().stream()
                        .filter(each -> each.endpoint().vm().domain().equals(domain))
                        .toList();
        there.forEach(backend -> scene.world().reclaim(backend, LONG_NOTICE_MILLIS));
        scene.daemon().stop(NOTICE_MILLIS);
    }

    private static void reclaimDuringStop(final FaultScenario scene) {
        final FakeBackend backend = scene.backend();
        scene.daemon().stop(NOTICE_MILLIS);
        scene.world().advance(300);
        scene.world().reclaim(backend, NOTICE_MILLIS);
    }

    private static void refuseStarts(final FaultScenario scene) {
        scene.world().fleet().cloud().setRefusingStarts(true);
        killEndpoint(scene);
    }

    private static void freeze(final FaultScenario scene) {
        scene.backend().setMode(FakeBackend.Mode.FROZEN);
    }

    private static void cutConnections(final FaultScenario scene) {
        scene.backend().cutConnections();
    }

    private static void stopDaemon(final FaultScenario scene) {
        scene.daemon().stop(NOTICE_MILLIS);
    }

    private static void killDaemonDuringStop(final FaultScenario scene) {
        final FakeDaemon daemon = scene.daemon();
        daemon.stop(NOTICE_MILLIS);
        scene.world().advance(NOTICE_MILLIS / 2);
        daemon.crash();
    }

    private static void pauseLong(final FaultScenario scene) {
        scene.daemon().pause(FakeLog.RETENTION.plusSeconds(5).toMillis());
    }

    /** The order departs before the pause and arrives after another holder's first one. */
    private static void pauseHolder(final FaultScenario scene) {
        final FakeWorld world = scene.world();
        final FakeDaemon holder = scene.leaseHolder();
        world.fleet().setOrderDelayMillis(8_000);
        scene.changeVersion();
        world.advance(1_500);
        holder.pause(10_000);
        world.fleet().setOrderDelayMillis(3);
        world.advance(6_000);
        scene.changeVersion();
    }

    private static void killHolder(final FaultScenario scene) {
        final FakeDaemon holder = scene.leaseHolder();
        scene.changeVersion();
        scene.world().advance(200);
        scene.world().log().delayAppends(2);
        scene.world().advance(400);
        holder.crash();
    }

    private static void cutCaller(final FaultScenario scene) {
        scene.caller().loseConnection();
    }

    private static void interruptLog(final FaultScenario scene) {
        scene.world().log().setOut(true);
        scene.world().clock().schedule(6_000, () -> scene.world().log().setOut(false));
    }

    private static void loseAnswers(final FaultScenario scene) {
        scene.world().log().loseAnswers(AFFECTED_APPENDS);
    }

    private static void delayAppends(final FaultScenario scene) {
        scene.world().log().delayAppends(AFFECTED_APPENDS);
    }

    private static void changeConcurrently(final FaultScenario scene) {
        scene.changeVersion();
        scene.changeVersion();
        scene.world().operator().change("team", "/team/budget", "200");
        scene.world().operator().change("team", "/team/budget", "wrong");
        scene.world().operator().change("other", "/team/budget", "300");
    }

    private static void freezeLists(final FaultScenario scene) {
        scene.world().fleet().vmList().setFrozen(true);
        scene.world().fleet().setReportsFrozen(true);
        scene.backend().setMode(FakeBackend.Mode.DEAD);
    }
}
