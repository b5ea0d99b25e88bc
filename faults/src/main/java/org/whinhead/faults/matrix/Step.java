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
    CLAIM_ASKED("a non-idempotent call waits for its claim", Step::askClaim, Target.CALLER),
    CLAIM_ON_LOG("its claim is on the log and not read back", Step::claimOnLog, Target.CALLER),
    DISPATCHED("a streamed answer was asked for, no token came", Step::dispatch, Target.ENDPOINT),
    STREAMING("ten tokens of an answer were delivered", Step::stream, Target.ENDPOINT),
    BUFFERING("a whole answer that must not run twice is half made", Step::buffer, Target.ENDPOINT),
    LAST_TOKEN("the engine has made the last token", Step::lastToken, Target.ENDPOINT),
    CALL_RUNNING("a non-idempotent call runs", Step::runCall, Target.ENDPOINT),
    ANSWER_ON_WAY("its answer is on the way", Step::answerCall, Target.CALLER),
    MOVING("the KV cache moves from a leaving engine", Step::move, Target.ENDPOINT),
    HANDED_BACK("a stopping daemon has sent the caller away", Step::handBack, Target.ENDPOINT),
    COMING_BACK(
            "a cut-off caller has reached another daemon", Step::reconnectCaller, Target.ENDPOINT),
    SETTING_ASKED("a change waits for its append", Step::askChange),
    SETTING_ON_LOG("a change is on the log and read nowhere", Step::changeOnLog),
    SETTING_HALF_READ("a change is read by one daemon", Step::changeHalfRead),
    LEASE_CHANGING("the holder is gone and another one claims", Step::changeLease),
    ORDER_NOTED("an order is on the log and not sent", Step::noteOrder),
    ORDER_SENT("an order is on its way", Step::sendOrder),
    ORDER_CARRIED_OUT("an order was carried out and is still open", Step::carryOutOrder);

    private static final int ORDER_DELAY_MILLIS = 300;

    private final String mDescription;
    private final Consumer<FaultScenario> mPreparation;
    private final Set<Target> mTargets = EnumSet.noneOf(Target.class);

    Step(final String description, final Consumer<FaultScenario> reach, final Target... subjects) {
        mDescription = description;
        mPreparation = reach;
        mTargets.addAll(Set.of(subjects));
        if (mTargets.contains(Target.ENDPOINT)) {
            mTargets.add(Target.CALLER);
        }
    }

    public String description() {
        return mDescription;
    }

    /** Tells whether there is such a thing at this step that a fault could hit. */
    boolean hasTarget(final Target subject) {
        return subject == Target.ANY || mTargets.contains(subject);
    }

    void reach(final FaultScenario scene) {
        mPreparation.accept(scene);
    }

    /** What a fault hits. */
    enum Target {
        ANY,
        CALLER,
        ENDPOINT
    }

    private static void askClaim(final FaultScenario scene) {
        scene.setCaller(scene.world().submitCall(false));
        scene.runUntil(() -> scene.caller().daemon().isPresent());
    }

    private static void claimOnLog(final FaultScenario scene) {
        scene.world().advance(200);
        final int before = scene.world().log().allEntries(FakeLog.CLAIMS).size();
        askClaim(scene);
        scene.runUntil(() -> scene.world().log().allEntries(FakeLog.CLAIMS).size() > before);
    }

    private static void dispatch(final FaultScenario scene) {
        final FakeCaller caller = scene.world().submitChat(60, true, true);
        scene.setCaller(caller);
        scene.runUntil(() -> scene.world().runCount(caller.id()) > 0);
    }

    private static void stream(final FaultScenario scene) {
        dispatch(scene);
        scene.runUntil(() -> scene.caller().tokens().size() >= 10);
    }

    private static void buffer(final FaultScenario scene) {
        final FakeCaller caller = scene.world().submitChat(60, false, false);
        scene.setCaller(caller);
        scene.runUntil(() -> scene.world().runCount(caller.id()) > 0);
        scene.world().advance(600);
    }

    private static void lastToken(final FaultScenario scene) {
        dispatch(scene);
        scene.runUntil(() -> scene.world().fleet().hasGeneratedAll(scene.caller().id()));
    }

    private static void runCall(final FaultScenario scene) {
        final FakeCaller caller = scene.world().submitCall(false);
        scene.setCaller(caller);
        scene.runUntil(() -> scene.world().runCount(caller.id()) > 0);
    }

    private static void answerCall(final FaultScenario scene) {
        runCall(scene);
        scene.runUntil(
                () -> scene.world().fleet().backendProcessing(scene.caller().id()).isEmpty());
    }

    private static void move(final FaultScenario scene) {
        stream(scene);
        scene.world().reclaim(scene.backend(), 700);
        scene.runUntil(() -> scene.world().hasDecision(scene.caller(), DecisionKind.MOVE_STARTED));
    }

    private static void handBack(final FaultScenario scene) {
        stream(scene);
        scene.daemon().stop(700);
        scene.runUntil(() -> scene.caller().daemon().isEmpty());
    }

    private static void reconnectCaller(final FaultScenario scene) {
        stream(scene);
        scene.caller().loseConnection();
        scene.runUntil(() -> scene.caller().daemon().isPresent());
    }

    private static void askChange(final FaultScenario scene) {
        scene.changeVersion();
        scene.world().advance(1);
    }

    private static void changeOnLog(final FaultScenario scene) {
        scene.changeVersion();
        scene.runUntil(
                () ->
                        scene.world().log().allEntries(FakeLog.FLEET).stream()
                                        .filter(e -> e.record() instanceof LogRecord.SettingChanged)
                                        .count()
                                > 1);
    }

    private static void changeHalfRead(final FaultScenario scene) {
        scene.changeVersion();
        scene.runUntil(() -> scene.world().daemonsWithNewestSettings() == 1);
    }

    private static void changeLease(final FaultScenario scene) {
        scene.leaseHolder().crash();
        final int before = leaseCount(scene);
        scene.runUntil(() -> leaseCount(scene) > before);
    }

    private static int leaseCount(final FaultScenario scene) {
        return (int)
                scene.world().log().allEntries(FakeLog.FLEET).stream()
                        .filter(entry -> entry.record() instanceof LogRecord.LeaseTaken)
                        .count();
    }

    private static void noteOrder(final FaultScenario scene) {
        final int before = noteCount(scene);
        scene.changeVersion();
        scene.runUntil(() -> noteCount(scene) > before);
    }

    private static int noteCount(final FaultScenario scene) {
        return (int)
                scene.world().log().allEntries(FakeLog.FLEET).stream()
                        .filter(entry -> entry.record() instanceof LogRecord.DutyNoted)
                        .count();
    }

    private static void sendOrder(final FaultScenario scene) {
        scene.world().fleet().setOrderDelayMillis(ORDER_DELAY_MILLIS);
        noteOrder(scene);
        scene.world().advance(ORDER_DELAY_MILLIS);
    }

    private static void carryOutOrder(final FaultScenario scene) {
        final int before = scene.world().fleet().orders().arrivedCount();
        scene.changeVersion();
        scene.runUntil(() -> scene.world().fleet().orders().arrivedCount() > before);
    }
}
