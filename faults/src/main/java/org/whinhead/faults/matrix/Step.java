package org.whinhead.faults.matrix;

import java.util.EnumSet;
import java.util.Set;
import java.util.function.Consumer;
import org.whinhead.faults.world.FakeCaller;
import org.whinhead.faults.world.FakeLog;
import org.whinhead.requests.DecisionKind;
import org.whinhead.state.record.LogRecord;

/** A moment in the life of a request, a call, a change of settings or an order. */
public enum Step {
    CLAIM_ASKED("a non-idempotent call waits for its claim", Step::askClaim, Subject.CALLER),
    CLAIM_ON_LOG("its claim is on the log and not read back", Step::claimOnLog, Subject.CALLER),
    DISPATCHED("a streamed answer was asked for, no token came", Step::dispatch, Subject.ENDPOINT),
    STREAMING("ten tokens of an answer were delivered", Step::stream, Subject.ENDPOINT),
    BUFFERING(
            "a whole answer that must not run twice is half made", Step::buffer, Subject.ENDPOINT),
    LAST_TOKEN("the engine has made the last token", Step::lastToken, Subject.ENDPOINT),
    CALL_RUNNING("a non-idempotent call runs", Step::runCall, Subject.ENDPOINT),
    ANSWER_ON_WAY("its answer is on the way", Step::answerCall, Subject.CALLER),
    MOVING("the KV cache moves from a leaving engine", Step::move, Subject.ENDPOINT),
    HANDED_BACK("a stopping daemon has sent the caller away", Step::handBack, Subject.ENDPOINT),
    COMING_BACK("a cut-off caller has reached another daemon", Step::comeBack, Subject.ENDPOINT),
    SETTING_ASKED("a change waits for its append", Step::askChange),
    SETTING_ON_LOG("a change is on the log and read nowhere", Step::changeOnLog),
    SETTING_HALF_READ("a change is read by one daemon", Step::changeHalfRead),
    LEASE_CHANGING("the holder is gone and another one claims", Step::changeLease),
    ORDER_NOTED("an order is on the log and not sent", Step::noteOrder),
    ORDER_SENT("an order is on its way", Step::sendOrder),
    ORDER_CARRIED_OUT("an order was carried out and is still open", Step::carryOutOrder);

    private static final int ORDER_DELAY_MILLIS = 300;

    private final String mDescription;
    private final Consumer<Scene> mReach;
    private final Set<Subject> mSubjects = EnumSet.noneOf(Subject.class);

    Step(final String description, final Consumer<Scene> reach, final Subject... subjects) {
        mDescription = description;
        mReach = reach;
        mSubjects.addAll(Set.of(subjects));
        if (mSubjects.contains(Subject.ENDPOINT)) {
            mSubjects.add(Subject.CALLER);
        }
    }

    public String description() {
        return mDescription;
    }

    /** Tells whether there is such a thing at this step that a fault could hit. */
    boolean has(final Subject subject) {
        return subject == Subject.ANY || mSubjects.contains(subject);
    }

    void reach(final Scene scene) {
        mReach.accept(scene);
    }

    /** What a fault hits. */
    enum Subject {
        ANY,
        CALLER,
        ENDPOINT
    }

    private static void askClaim(final Scene scene) {
        scene.about(scene.world().call(false));
        scene.runUntil(() -> scene.caller().daemon().isPresent());
    }

    private static void claimOnLog(final Scene scene) {
        scene.world().run(200);
        final int before = scene.world().log().all(FakeLog.CLAIMS).size();
        askClaim(scene);
        scene.runUntil(() -> scene.world().log().all(FakeLog.CLAIMS).size() > before);
    }

    private static void dispatch(final Scene scene) {
        final FakeCaller caller = scene.world().chat(60, true, true);
        scene.about(caller);
        scene.runUntil(() -> scene.world().runs(caller.id()) > 0);
    }

    private static void stream(final Scene scene) {
        dispatch(scene);
        scene.runUntil(() -> scene.caller().tokens().size() >= 10);
    }

    private static void buffer(final Scene scene) {
        final FakeCaller caller = scene.world().chat(60, false, false);
        scene.about(caller);
        scene.runUntil(() -> scene.world().runs(caller.id()) > 0);
        scene.world().run(600);
    }

    private static void lastToken(final Scene scene) {
        dispatch(scene);
        scene.runUntil(() -> scene.world().fleet().hasMadeAll(scene.caller().id()));
    }

    private static void runCall(final Scene scene) {
        final FakeCaller caller = scene.world().call(false);
        scene.about(caller);
        scene.runUntil(() -> scene.world().runs(caller.id()) > 0);
    }

    private static void answerCall(final Scene scene) {
        runCall(scene);
        scene.runUntil(() -> scene.world().fleet().workerOf(scene.caller().id()).isEmpty());
    }

    private static void move(final Scene scene) {
        stream(scene);
        scene.world().leave(scene.backend(), 700);
        scene.runUntil(() -> scene.world().wasDecided(scene.caller(), DecisionKind.MOVE_STARTED));
    }

    private static void handBack(final Scene scene) {
        stream(scene);
        scene.daemon().stop(700);
        scene.runUntil(() -> scene.caller().daemon().isEmpty());
    }

    private static void comeBack(final Scene scene) {
        stream(scene);
        scene.caller().cutOff();
        scene.runUntil(() -> scene.caller().daemon().isPresent());
    }

    private static void askChange(final Scene scene) {
        scene.changeVersion();
        scene.world().run(1);
    }

    private static void changeOnLog(final Scene scene) {
        scene.changeVersion();
        scene.runUntil(
                () ->
                        scene.world().log().all(FakeLog.FLEET).stream()
                                        .filter(e -> e.record() instanceof LogRecord.SettingChanged)
                                        .count()
                                > 1);
    }

    private static void changeHalfRead(final Scene scene) {
        scene.changeVersion();
        scene.runUntil(() -> scene.world().daemonsWithNewestSettings() == 1);
    }

    private static void changeLease(final Scene scene) {
        scene.holder().die();
        final int before = leases(scene);
        scene.runUntil(() -> leases(scene) > before);
    }

    private static int leases(final Scene scene) {
        return (int)
                scene.world().log().all(FakeLog.FLEET).stream()
                        .filter(entry -> entry.record() instanceof LogRecord.LeaseTaken)
                        .count();
    }

    private static void noteOrder(final Scene scene) {
        final int before = notes(scene);
        scene.changeVersion();
        scene.runUntil(() -> notes(scene) > before);
    }

    private static int notes(final Scene scene) {
        return (int)
                scene.world().log().all(FakeLog.FLEET).stream()
                        .filter(entry -> entry.record() instanceof LogRecord.DutyNoted)
                        .count();
    }

    private static void sendOrder(final Scene scene) {
        scene.world().fleet().setOrderDelay(ORDER_DELAY_MILLIS);
        noteOrder(scene);
        scene.world().run(ORDER_DELAY_MILLIS);
    }

    private static void carryOutOrder(final Scene scene) {
        final int before = scene.world().fleet().orders().count();
        scene.changeVersion();
        scene.runUntil(() -> scene.world().fleet().orders().count() > before);
    }
}
