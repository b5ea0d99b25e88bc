package org.whinhead.faults.matrix;

import java.util.EnumSet;
import java.util.Set;
import java.util.function.Consumer;
import org.whinhead.faults.world.FakeCaller;
import org.whinhead.faults.world.FakeLog;
import org.whinhead.requests.DecisionKind;
import org.whinhead.state.record.LogRecord;

/** The steps of a request, a call, a settings change or a fleet order at which faults occur. */
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

    Step(
            final String description,
            final Consumer<FaultScenario> preparation,
            final Target... targets) {
        mDescription = description;
        mPreparation = preparation;
        mTargets.addAll(Set.of(targets));
        if (mTargets.contains(Target.ENDPOINT)) {
            mTargets.add(Target.CALLER);
        }
    }

    public String description() {
        return mDescription;
    }

    /** Returns whether a fault with this target can occur at this step. */
    boolean hasTarget(final Target target) {
        return target == Target.ANY || mTargets.contains(target);
    }

    void reach(final FaultScenario scenario) {
        mPreparation.accept(scenario);
    }

    /** The object that a fault affects. */
    enum Target {
        ANY,
        CALLER,
        ENDPOINT
    }

    private static void askClaim(final FaultScenario scenario) {
        scenario.setCaller(scenario.world().submitCall(false));
        scenario.runUntil(() -> scenario.caller().daemon().isPresent());
    }

    private static void claimOnLog(final FaultScenario scenario) {
        scenario.world().advance(200);
        final int before = scenario.world().log().allEntries(FakeLog.CLAIMS).size();
        askClaim(scenario);
        scenario.runUntil(() -> scenario.world().log().allEntries(FakeLog.CLAIMS).size() > before);
    }

    private static void dispatch(final FaultScenario scenario) {
        final FakeCaller caller = scenario.world().submitChat(60, true, true);
        scenario.setCaller(caller);
        scenario.runUntil(() -> scenario.world().runCount(caller.id()) > 0);
    }

    private static void stream(final FaultScenario scenario) {
        dispatch(scenario);
        scenario.runUntil(() -> scenario.caller().tokens().size() >= 10);
    }

    private static void buffer(final FaultScenario scenario) {
        final FakeCaller caller = scenario.world().submitChat(60, false, false);
        scenario.setCaller(caller);
        scenario.runUntil(() -> scenario.world().runCount(caller.id()) > 0);
        scenario.world().advance(600);
    }

    private static void lastToken(final FaultScenario scenario) {
        dispatch(scenario);
        scenario.runUntil(() -> scenario.world().fleet().hasGeneratedAll(scenario.caller().id()));
    }

    private static void runCall(final FaultScenario scenario) {
        final FakeCaller caller = scenario.world().submitCall(false);
        scenario.setCaller(caller);
        scenario.runUntil(() -> scenario.world().runCount(caller.id()) > 0);
    }

    private static void answerCall(final FaultScenario scenario) {
        runCall(scenario);
        scenario.runUntil(
                () -> scenario.world().fleet().backendProcessing(scenario.caller().id()).isEmpty());
    }

    private static void move(final FaultScenario scenario) {
        stream(scenario);
        scenario.world().reclaim(scenario.backend(), 700);
        scenario.runUntil(
                () -> scenario.world().hasDecision(scenario.caller(), DecisionKind.MOVE_STARTED));
    }

    private static void handBack(final FaultScenario scenario) {
        stream(scenario);
        scenario.daemon().stop(700);
        scenario.runUntil(() -> scenario.caller().daemon().isEmpty());
    }

    private static void reconnectCaller(final FaultScenario scenario) {
        stream(scenario);
        scenario.caller().loseConnection();
        scenario.runUntil(() -> scenario.caller().daemon().isPresent());
    }

    private static void askChange(final FaultScenario scenario) {
        scenario.changeVersion();
        scenario.world().advance(1);
    }

    private static void changeOnLog(final FaultScenario scenario) {
        scenario.changeVersion();
        scenario.runUntil(
                () ->
                        scenario.world().log().allEntries(FakeLog.FLEET).stream()
                                        .filter(e -> e.record() instanceof LogRecord.SettingChanged)
                                        .count()
                                > 1);
    }

    private static void changeHalfRead(final FaultScenario scenario) {
        scenario.changeVersion();
        scenario.runUntil(() -> scenario.world().daemonsWithNewestSettings() == 1);
    }

    private static void changeLease(final FaultScenario scenario) {
        scenario.leaseHolder().crash();
        final int before = leaseCount(scenario);
        scenario.runUntil(() -> leaseCount(scenario) > before);
    }

    private static int leaseCount(final FaultScenario scenario) {
        return (int)
                scenario.world().log().allEntries(FakeLog.FLEET).stream()
                        .filter(entry -> entry.record() instanceof LogRecord.LeaseTaken)
                        .count();
    }

    private static void noteOrder(final FaultScenario scenario) {
        final int before = noteCount(scenario);
        scenario.changeVersion();
        scenario.runUntil(() -> noteCount(scenario) > before);
    }

    private static int noteCount(final FaultScenario scenario) {
        return (int)
                scenario.world().log().allEntries(FakeLog.FLEET).stream()
                        .filter(entry -> entry.record() instanceof LogRecord.DutyNoted)
                        .count();
    }

    private static void sendOrder(final FaultScenario scenario) {
        scenario.world().fleet().setOrderDelayMillis(ORDER_DELAY_MILLIS);
        noteOrder(scenario);
        scenario.world().advance(ORDER_DELAY_MILLIS);
    }

    private static void carryOutOrder(final FaultScenario scenario) {
        final int before = scenario.world().fleet().orders().arrivedCount();
        scenario.changeVersion();
        scenario.runUntil(() -> scenario.world().fleet().orders().arrivedCount() > before);
    }
}
