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
    VM_LOST("the endpoint's VM is gone without notice", Fault::lose, Step.Subject.ENDPOINT),
    VM_LOST_IN_RECLAIM("the VM dies partway through its notice", Fault::dieInReclaim),
    DOMAIN_RECLAIMED("a whole failure domain is reclaimed", Fault::reclaimDomain),
    RECLAIM_IN_STOP("an endpoint is reclaimed while the daemon stops", Fault::reclaimInStop),
    STARTS_REFUSED("the cloud refuses starts after a loss", Fault::refuseStarts),
    ENDPOINT_FROZEN("the endpoint stands still", Fault::freeze, Step.Subject.ENDPOINT),
    CONNECTION_CUT("connections to the endpoint break", Fault::cut, Step.Subject.ENDPOINT),
    DAEMON_RECLAIMED("the daemon's VM is reclaimed with notice", Fault::stopDaemon),
    DAEMON_LOST("the daemon is gone without notice", scene -> scene.daemon().die()),
    DAEMON_LOST_IN_STOP("the daemon dies partway through its stop", Fault::dieInStop),
    DAEMON_PAUSED("the daemon is paused past its lease", scene -> scene.daemon().pause(7_000)),
    DAEMON_PAUSED_LONG("it is paused past the log's retention", Fault::pauseLong),
    HOLDER_PAUSED("the holder is paused and its orders arrive late", Fault::pauseHolder),
    HOLDER_LOST("the holder dies and what it noted lands under the next lease", Fault::loseHolder),
    CALLER_CUT("the caller's connection breaks", Fault::cutCaller, Step.Subject.CALLER),
    CALLER_LEFT("the caller hangs up", scene -> scene.caller().leave(), Step.Subject.CALLER),
    EVENTS_LOST("events get lost and come twice", scene -> scene.world().setLossPercent(3)),
    LOG_OUT("the log is out for six seconds", Fault::logOut),
    LOG_SLOW("each call of the log takes a second", scene -> scene.world().log().setSlow(1_000)),
    LOG_OVER_CAP("the log takes two appends a second", scene -> scene.world().log().setCap(2)),
    LOG_ANSWER_LOST("appends take effect and lose their answers", Fault::loseAnswers),
    LOG_APPEND_LATE("appends lose their answers and land late", Fault::landLate),
    OPERATORS_RACE("operators change one path at the same time", Fault::race),
    LISTS_FROZEN("VM list and load reports stand still", Fault::freezeLists);

    private static final int NOTICE_MILLIS = 1_500;
    private static final int APPENDS = 12;

    private final String mDescription;
    private final Consumer<Scene> mStrike;
    private final Step.Subject mSubject;

    Fault(final String description, final Consumer<Scene> strike) {
        this(description, strike, Step.Subject.ANY);
    }

    Fault(final String description, final Consumer<Scene> strike, final Step.Subject subject) {
        mDescription = description;
        mStrike = strike;
        mSubject = subject;
    }

    public String description() {
        return mDescription;
    }

    /** Returns why it can't occur at a step; empty if it can. */
    Optional<String> impossibleAt(final Step step) {
        if (step.has(mSubject)) {
            return Optional.empty();
        }
        return Optional.of(
                mSubject == Step.Subject.CALLER
                        ? "no caller takes part in this step"
                        : "no endpoint works for it at this step");
    }

    void strike(final Scene scene) {
        mStrike.accept(scene);
    }

    private static void reclaim(final Scene scene) {
        scene.world().leave(scene.backend(), NOTICE_MILLIS);
    }

    private static void lose(final Scene scene) {
        scene.backend().setMode(FakeBackend.Mode.DEAD);
    }

    private static void dieInReclaim(final Scene scene) {
        final FakeBackend backend = scene.backend();
        scene.world().leave(backend, NOTICE_MILLIS);
        scene.world().run(150);
        backend.setMode(FakeBackend.Mode.DEAD);
    }

    private static void reclaimDomain(final Scene scene) {
        final FailureDomain domain = scene.backend().endpoint().vm().domain();
        final List<FakeBackend> there =
                scene.world().backends().stream()
                        .filter(each -> each.endpoint().vm().domain().equals(domain))
                        .toList();
        there.forEach(backend -> scene.world().leave(backend, NOTICE_MILLIS));
        scene.daemon().stop(NOTICE_MILLIS);
    }

    private static void reclaimInStop(final Scene scene) {
        final FakeBackend backend = scene.backend();
        scene.daemon().stop(NOTICE_MILLIS);
        scene.world().run(300);
        scene.world().leave(backend, NOTICE_MILLIS);
    }

    private static void refuseStarts(final Scene scene) {
        scene.world().fleet().cloud().setRefusing(true);
        lose(scene);
    }

    private static void freeze(final Scene scene) {
        scene.backend().setMode(FakeBackend.Mode.FROZEN);
    }

    private static void cut(final Scene scene) {
        scene.backend().cutConnections();
    }

    private static void stopDaemon(final Scene scene) {
        scene.daemon().stop(NOTICE_MILLIS);
    }

    private static void dieInStop(final Scene scene) {
        final FakeDaemon daemon = scene.daemon();
        daemon.stop(NOTICE_MILLIS);
        scene.world().run(NOTICE_MILLIS / 2);
        daemon.die();
    }

    private static void pauseLong(final Scene scene) {
        scene.daemon().pause(FakeLog.RETENTION.plusSeconds(5).toMillis());
    }

    /** The order departs before the pause and arrives after another holder's first one. */
    private static void pauseHolder(final Scene scene) {
        final FakeWorld world = scene.world();
        final FakeDaemon holder = scene.holder();
        world.fleet().setOrderDelay(8_000);
        scene.changeVersion();
        world.run(1_500);
        holder.pause(10_000);
        world.fleet().setOrderDelay(3);
        world.run(6_000);
        scene.changeVersion();
    }

    private static void loseHolder(final Scene scene) {
        final FakeDaemon holder = scene.holder();
        scene.changeVersion();
        scene.world().run(200);
        scene.world().log().landLate(2);
        scene.world().run(400);
        holder.die();
    }

    private static void cutCaller(final Scene scene) {
        scene.caller().cutOff();
    }

    private static void logOut(final Scene scene) {
        scene.world().log().setOut(true);
        scene.world().time().after(6_000, () -> scene.world().log().setOut(false));
    }

    private static void loseAnswers(final Scene scene) {
        scene.world().log().loseAnswers(APPENDS);
    }

    private static void landLate(final Scene scene) {
        scene.world().log().landLate(APPENDS);
    }

    private static void race(final Scene scene) {
        scene.changeVersion();
        scene.changeVersion();
        scene.world().operator().change("team", "/team/budget", "200");
        scene.world().operator().change("team", "/team/budget", "wrong");
        scene.world().operator().change("other", "/team/budget", "300");
    }

    private static void freezeLists(final Scene scene) {
        scene.world().fleet().vmList().setFrozen(true);
        scene.world().fleet().setReportsFrozen(true);
        scene.backend().setMode(FakeBackend.Mode.DEAD);
    }
}
