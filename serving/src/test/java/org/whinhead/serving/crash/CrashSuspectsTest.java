package org.whinhead.serving.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class CrashSuspectsTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final RequestFeature PART = feature(1);
    private static final RequestFeature SOUND = feature(2);
    private static final RequestFeature OTHER = feature(3);
    private static final long DAY = Duration.ofDays(1).toMillis();

    private final CrashSuspects mSuspects = new CrashSuspects();

    private static RequestFeature feature(final int number) {
        return new RequestFeature(number, number, -number);
    }

    private static Instant at(final long millis) {
        return START.plusMillis(millis);
    }

    private static List<FeatureLevel> run(final int level, final RequestFeature... features) {
        return Arrays.stream(features).map(feature -> new FeatureLevel(feature, level)).toList();
    }

    private boolean isAllowed(final long millis, final RequestFeature... features) {
        return decide(mSuspects, millis, features).isAllowed();
    }

    private static SuspectDecision decide(
            final CrashSuspects daemon, final long millis, final RequestFeature... features) {
        return daemon.decide(List.of(features), feature -> AnswerHistory.NONE, at(millis));
    }

    private boolean isAllowedIfUsual(final long millis, final RequestFeature... features) {
        return mSuspects
                .decide(List.of(features), feature -> AnswerHistory.MANY, at(millis))
                .isAllowed();
    }

    /** Records a crash under a request that is sent and lost at the same moment. */
    private void crash(final String endpoint, final long millis, final RequestFeature... features) {
        final List<FeatureLevel> lost =
                Arrays.stream(features)
                        .map(
                                feature ->
                                        new FeatureLevel(
                                                feature, mSuspects.level(feature, at(millis))))
                        .toList();
        recordCrash(lost, endpoint, at(millis));
    }

    private List<FeatureLevel> recordCrash(
            final List<FeatureLevel> run, final String endpoint, final Instant now) {
        return mSuspects.recordCrash(run, feature -> AnswerHistory.NONE, endpoint, now);
    }

    private static AnswerHistory soundIsUsual(final RequestFeature feature) {
        return feature.equals(SOUND) ? AnswerHistory.MANY : AnswerHistory.NONE;
    }

    private void block(final RequestFeature... features) {
        crash("e-1", 0, features);
        crash("e-2", 300, features);
        crash("e-3", 600, features);
    }

    @Test
    void unknownRequestRuns() {
        assertThat(isAllowed(0, PART, SOUND)).isTrue();
        assertThat(mSuspects.mayKnow(PART.shape())).isFalse();
    }

    // Guards against requests that share a part under which one endpoint crashes after the other.
    @Test
    void requestsWithPartAreRefusedAfterThreeCrashesInTurn() {
        crash("e-1", 0, PART, feature(10));
        crash("e-2", 300, PART, feature(11));
        crash("e-3", 600, PART, feature(12));
        assertThat(mSuspects.level(PART, at(600))).isEqualTo(CrashSuspects.BLOCKED_LEVEL);
        assertThat(isAllowed(700, PART, feature(13))).isFalse();
        assertThat(isAllowed(50_000, PART)).isFalse();
        assertThat(mSuspects.blockedCount()).isEqualTo(1);
        assertThat(isAllowed(700, feature(10), feature(13))).isTrue();
    }

    // Guards against a part that crashes endpoints crashing several at once before it is refused:
    // its requests come faster than the daemons learn what becomes of them.
    @Test
    void requestsWithSuspectedPartRunOneByOne() {
        crash("e-1", 0, PART, feature(10));
        assertThat(isAllowed(10, PART)).isTrue();
        mSuspects.recordStart(List.of(PART), feature -> AnswerHistory.NONE, at(10));
        assertThat(isAllowed(20, PART)).isFalse();
        mSuspects.recordEnd(List.of(PART), at(30));
        assertThat(isAllowed(30, PART)).isTrue();
    }

    @Test
    void requestThatHangsHoldsUpOthersForOneSecond() {
        crash("e-1", 0, PART, feature(10));
        mSuspects.recordStart(List.of(PART), feature -> AnswerHistory.NONE, at(10));
        assertThat(isAllowed(1_000, PART)).isFalse();
        assertThat(isAllowed(1_010, PART)).isTrue();
    }

    // Guards against a common part that is held up at each crash of any endpoint.
    @Test
    void oneCrashDoesNotHoldUpWhatIsAnsweredUsually() {
        crash("e-1", 0, PART, feature(10));
        assertThat(mSuspects.recordStart(List.of(PART), feature -> AnswerHistory.MANY, at(10)))
                .isEmpty();
        assertThat(isAllowedIfUsual(20, PART)).isTrue();
        crash("e-2", 600, PART, feature(11));
        mSuspects.recordStart(List.of(PART), feature -> AnswerHistory.MANY, at(610));
        assertThat(isAllowedIfUsual(620, PART)).isFalse();
    }

    @Test
    void requestsRunFreelyOnceAnAnswerHasBegun() {
        crash("e-1", 0, PART, feature(10));
        mSuspects.recordStart(List.of(PART), feature -> AnswerHistory.NONE, at(10));
        assertThat(mSuspects.recordBegun(List.of(PART), at(60))).containsExactly(PART);
        assertThat(mSuspects.recordBegun(List.of(PART), at(61))).isEmpty();
        assertThat(isAllowed(70, PART)).isTrue();
        assertThat(mSuspects.recordStart(List.of(PART), feature -> AnswerHistory.NONE, at(70)))
                .isEmpty();
    }

    // Guards against a part that crashes endpoints after they have begun to answer, and is never
    // refused because each beginning ends its suspicion.
    @Test
    void answersThatBeginDoNotOutweighTheirCrashes() {
        for (int number = 0; number < 3; number++) {
            crash("e-" + number, 600L * number, PART, feature(10 + number));
            mSuspects.recordBegun(List.of(PART), at(600L * number + 100));
        }
        assertThat(isAllowed(1_400, PART)).isFalse();
    }

    // Guards against a common request that is refused because endpoints are lost together.
    @Test
    void endpointsLostTogetherCountOnce() {
        recordCrash(run(0, PART), "e-1", at(0));
        recordCrash(run(0, PART), "e-2", at(3));
        assertThat(mSuspects.level(PART, at(3))).isEqualTo(1);
        assertThat(isAllowed(10, PART)).isTrue();
    }

    // Guards against a common request that is refused for long because its endpoints were lost one
    // after the other within milliseconds, and each daemon sent it on to the next one.
    @Test
    void requestsSentOnWithinOneEventAreOnlyGuarded() {
        crash("e-1", 0, PART);
        crash("e-2", 40, PART);
        crash("e-3", 41, PART);
        assertThat(mSuspects.level(PART, at(41))).isEqualTo(CrashSuspects.GUARDED_LEVEL);
        assertThat(isAllowed(100, PART)).isFalse();
        assertThat(isAllowed(500, PART)).isTrue();
    }

    @Test
    void laterCrashCountsAlthoughItsRunBeganBefore() {
        recordCrash(run(0, PART), "e-1", at(0));
        recordCrash(run(0, PART), "e-2", at(1_000));
        assertThat(mSuspects.level(PART, at(1_000))).isEqualTo(2);
    }

    // Guards against one crash that counts twice because two daemons find it at different times.
    @Test
    void crashOfOneEndpointCountsOnce() {
        mSuspects.applyPeerCrash(run(1, PART, feature(10)), "e-1", at(0));
        recordCrash(run(0, PART, feature(11)), "e-1", at(900));
        assertThat(mSuspects.level(PART, at(900))).isEqualTo(1);
    }

    // Guards against a part that crashes the few endpoints of a service on and on, as each of them
    // starts again under its id, and its crashes count once.
    @Test
    void crashesOfEndpointThatKeepsItsIdCount() {
        for (int number = 0; number < 3; number++) {
            crash("e-1", 1_100L * number, PART, feature(10 + number));
        }
        assertThat(isAllowed(2_300, PART)).isFalse();
    }

    @Test
    void completeAnswerOutweighsOneCrash() {
        crash("e-1", 0, PART, SOUND);
        crash("e-2", 600, PART, SOUND);
        assertThat(mSuspects.recordAnswer(List.of(SOUND), at(700))).isEqualTo(run(1, SOUND));
        assertThat(mSuspects.level(SOUND, at(701))).isEqualTo(1);
        assertThat(mSuspects.recordAnswer(List.of(SOUND), at(800))).isEqualTo(run(0, SOUND));
        assertThat(mSuspects.level(SOUND, at(801))).isZero();
        assertThat(mSuspects.recordAnswer(List.of(SOUND), at(900))).isEmpty();
        assertThat(mSuspects.mayKnow(SOUND.shape())).isFalse();
        assertThat(mSuspects.level(PART, at(701))).isEqualTo(2);
    }

    // Guards against a part that crashes nine of ten endpoints, and is cleared by the tenth
    // request.
    @Test
    void answerBetweenCrashesDoesNotClearThem() {
        crash("e-1", 0, PART, feature(10));
        crash("e-2", 600, PART, feature(11));
        mSuspects.recordAnswer(List.of(PART), at(700));
        crash("e-3", 1_200, PART, feature(12));
        crash("e-4", 1_800, PART, feature(13));
        assertThat(isAllowed(1_900, PART)).isFalse();
    }

    @Test
    void toldAnswerCountsOnceHoweverOftenItIsRepeated() {
        crash("e-1", 0, PART);
        crash("e-2", 600, PART);
        crash("e-3", 1_200, PART);
        for (int repeat = 0; repeat < 4; repeat++) {
            mSuspects.applyPeerAnswer(new FeatureAnswer(run(2, PART), true), at(1_300 + repeat));
        }
        assertThat(mSuspects.level(PART, at(1_400))).isEqualTo(2);
    }

    // Guards against sound requests that are refused because a part of theirs came with the one
    // that crashes endpoints each time.
    @Test
    void partThatCameWithTheOtherRunsOnceByItself() {
        block(PART, SOUND);
        assertThat(isAllowed(700, PART, SOUND, feature(20))).isFalse();
        assertThat(isAllowed(700, SOUND, feature(21))).isTrue();
        mSuspects.recordStart(List.of(SOUND), feature -> AnswerHistory.NONE, at(700));
        assertThat(isAllowed(710, SOUND, feature(22))).isFalse();
        mSuspects.recordAnswer(List.of(SOUND), at(800));
        assertThat(isAllowed(810, SOUND, feature(22))).isTrue();
        mSuspects.recordStart(List.of(SOUND), feature -> AnswerHistory.NONE, at(810));
        mSuspects.recordAnswer(List.of(SOUND), at(815));
        assertThat(isAllowed(820, SOUND, feature(23))).isTrue();
        assertThat(isAllowed(820, PART, SOUND, feature(24))).isFalse();
        assertThat(isAllowed(820, PART, OTHER, feature(25))).isFalse();
    }

    @Test
    void partThatCrashesWithoutTheOtherIsRefusedByItself() {
        block(PART, SOUND);
        assertThat(isAllowed(700, PART, OTHER)).isTrue();
        crash("e-4", 800, PART, OTHER);
        assertThat(isAllowed(900, PART)).isFalse();
        assertThat(isAllowed(900, PART, OTHER, feature(30))).isFalse();
        assertThat(mSuspects.level(OTHER, at(900))).isEqualTo(1);
    }

    // Guards against a customer that crashes endpoints with a part under another customer's id:
    // the other one must be served, and what it is answered must not help the first.
    @Test
    void partOfOneCustomerDoesNotBlockThatOfAnother() {
        final RequestFeature ofFirst = feature(40);
        final RequestFeature ofSecond = feature(41);
        block(PART, ofFirst);
        assertThat(isAllowed(700, PART, ofSecond)).isTrue();
        mSuspects.recordAnswer(List.of(PART), at(800));
        mSuspects.recordAnswer(List.of(PART), at(850));
        assertThat(isAllowed(900, PART, ofSecond)).isTrue();
        assertThat(isAllowed(900, PART, ofFirst)).isFalse();
    }

    @Test
    void partThatCrashesForTwoCustomersIsRefusedForAll() {
        block(PART, feature(40));
        crash("e-4", 800, PART, feature(41));
        assertThat(isAllowed(900, PART, feature(42))).isFalse();
    }

    // Guards against requests on the same endpoint as one that crashes it being taken for the
    // cause: the part that they share with it came without it there, but not elsewhere.
    @Test
    void requestsOnOneEndpointShareItsCrash() {
        for (int number = 0; number < 3; number++) {
            crash("e-" + number, 600L * number, PART, SOUND, feature(50 + number));
            crash("e-" + number, 600L * number, SOUND, feature(60 + number));
        }
        assertThat(isAllowed(1_300, SOUND, feature(70))).isTrue();
        assertThat(isAllowed(1_300, PART, SOUND, feature(71))).isFalse();
    }

    // Guards against innocent requests that are refused because they were on several endpoints that
    // suspected ones have crashed.
    @Test
    void suspectedRequestExplainsTheCrashOfItsEndpoint() {
        mSuspects.applyPeerCrash(run(1, PART), "e-1", at(0));
        mSuspects.applyPeerStart(List.of(PART), "e-2", at(10));
        assertThat(mSuspects.isGuarded("e-2", at(20))).isTrue();
        assertThat(recordCrash(run(0, SOUND), "e-2", at(50))).isEmpty();
        assertThat(mSuspects.level(SOUND, at(50))).isZero();
        assertThat(recordCrash(run(1, PART), "e-2", at(50))).hasSize(1);
        assertThat(recordCrash(run(0, SOUND), "e-2", at(70))).isEmpty();
    }

    // Guards against a common request that is refused because it was on endpoints together with
    // ones that crash them: each was the only suspected one there, as far as its daemon knew.
    @Test
    void ofTwoSuspectedRequestsTheUsualOneIsInnocent() {
        mSuspects.applyPeerCrash(run(1, PART), "e-1", at(0));
        mSuspects.applyPeerCrash(run(1, SOUND), "e-1", at(0));
        mSuspects.recordPlaced(List.of(SOUND), "e-2", at(10));
        mSuspects.applyPeerStart(List.of(PART), "e-2", at(11));
        assertThat(
                        mSuspects.recordCrash(
                                run(1, SOUND), CrashSuspectsTest::soundIsUsual, "e-2", at(50)))
                .isEmpty();
        assertThat(
                        mSuspects.recordCrash(
                                run(1, PART), CrashSuspectsTest::soundIsUsual, "e-2", at(50)))
                .hasSize(1);
    }

    @Test
    void requestWhoseAnswerHasBegunExplainsNoCrash() {
        mSuspects.applyPeerCrash(run(1, PART), "e-1", at(0));
        mSuspects.applyPeerStart(List.of(PART), "e-2", at(10));
        mSuspects.applyPeerAnswer(new FeatureAnswer(run(0, PART), false), at(40));
        assertThat(mSuspects.isGuarded("e-2", at(50))).isFalse();
        assertThat(recordCrash(run(0, SOUND), "e-2", at(60))).hasSize(1);
    }

    @Test
    void crashUnderRefusedPartCountsAgainstNoOther() {
        crash("e-1", 0, PART, feature(10));
        crash("e-2", 300, PART, feature(11));
        crash("e-3", 600, PART, feature(12));
        crash("e-4", 70_000, PART, OTHER);
        assertThat(mSuspects.level(OTHER, at(70_000))).isZero();
        assertThat(mSuspects.level(PART, at(70_000))).isEqualTo(4);
    }

    // Guards against an innocent request that comes under suspicion again by the report of a daemon
    // that has not heard of its answer.
    @Test
    void reportOlderThanAnswerIsAnsweredAndIgnored() {
        crash("e-1", 0, PART);
        mSuspects.recordAnswer(List.of(PART), at(10));
        final SuspectRecord record = new SuspectRecord(PART, 3, Duration.ofMinutes(5), Set.of());
        assertThat(mSuspects.applyPeerRecord(record, at(20))).isTrue();
        assertThat(isAllowed(20, PART)).isTrue();
        assertThat(mSuspects.applyPeerRecord(record, at(40_000))).isFalse();
        assertThat(isAllowed(40_000, PART)).isFalse();
    }

    @Test
    void crashesAtOtherDaemonsCount() {
        mSuspects.applyPeerCrash(run(1, PART), "e-1", at(0));
        assertThat(recordCrash(run(1, PART), "e-2", at(100)).get(0).level()).isEqualTo(2);
        mSuspects.applyPeerCrash(run(3, PART), "e-3", at(200));
        assertThat(isAllowed(300, PART)).isFalse();
        mSuspects.applyPeerAnswer(new FeatureAnswer(run(0, PART), true), at(400));
        assertThat(isAllowed(400, PART)).isTrue();
    }

    // Guards against requests with a suspected part that run at several daemons at a time.
    @Test
    void requestAtAnotherDaemonHoldsUpOthers() {
        mSuspects.applyPeerCrash(run(1, PART), "e-1", at(0));
        mSuspects.applyPeerStart(List.of(PART), "e-9", at(10));
        assertThat(isAllowed(20, PART)).isFalse();
        mSuspects.applyPeerAnswer(new FeatureAnswer(run(0, PART), false), at(30));
        assertThat(isAllowed(40, PART)).isTrue();
    }

    // Guards against requests that are refused for good although their endpoints have been mended.
    @Test
    void refusedPartIsTriedAfterGrowingPauses() {
        block(PART);
        assertThat(isAllowed(60_500, PART)).isFalse();
        assertThat(isAllowed(60_700, PART)).isTrue();
        mSuspects.recordStart(List.of(PART), feature -> AnswerHistory.NONE, at(60_700));
        assertThat(isAllowed(60_800, PART)).isFalse();
        crash("e-4", 60_900, PART);
        assertThat(decide(mSuspects, 900_900, PART).retryAfter()).isEqualTo(Duration.ofMinutes(1));
        assertThat(isAllowed(960_900, PART)).isTrue();
    }

    // Guards against two daemons that both try a refused part after the same pause.
    @Test
    void trialOfAnotherDaemonPutsOffThisOne() {
        block(PART);
        mSuspects.applyPeerStart(List.of(PART), "e-9", at(60_700));
        assertThat(isAllowed(70_000, PART)).isFalse();
    }

    @Test
    void trialWithoutResultIsNotRepeatedAtOnce() {
        block(PART);
        mSuspects.recordStart(List.of(PART), feature -> AnswerHistory.NONE, at(60_700));
        mSuspects.recordEnd(List.of(PART), at(60_800));
        assertThat(isAllowed(61_000, PART)).isFalse();
        assertThat(isAllowed(120_700, PART)).isTrue();
    }

    @Test
    void suspectedPartThatDoesNotComeAgainIsForgotten() {
        crash("e-1", 0, PART);
        assertThat(mSuspects.level(PART, at(Duration.ofMinutes(11).toMillis()))).isZero();
        assertThat(mSuspects.size()).isZero();
    }

    // Guards against a part that is forgotten while it isn't asked for, and crashes endpoints anew.
    @Test
    void refusedPartIsRememberedForOneDay() {
        block(PART);
        assertThat(mSuspects.level(PART, at(DAY))).isEqualTo(CrashSuspects.BLOCKED_LEVEL);
        assertThat(mSuspects.level(PART, at(DAY + 601))).isZero();
    }

    @Test
    void refusalsKeepTheMemory() {
        block(PART);
        for (int hour = 0; hour < 30; hour++) {
            isAllowed(Duration.ofHours(hour).toMillis(), PART);
        }
        assertThat(mSuspects.size()).isEqualTo(1);
    }

    // Guards against memory that grows with each request that is on an endpoint that crashes.
    @Test
    void memoryIsBounded() {
        block(PART);
        for (int number = 0; number < 10_000; number++) {
            recordCrash(run(0, feature(1_000 + number)), "e-9", at(700));
        }
        assertThat(mSuspects.size()).isLessThanOrEqualTo(4_096);
    }

    // Guards against a part that crashes endpoints being forgotten because a customer invents parts
    // without end, or many innocent requests were on endpoints that crashed later.
    @Test
    void refusedPartOutlivesManySuspectsOfOneCrash() {
        block(PART);
        for (int number = 0; number < 10_000; number++) {
            recordCrash(run(0, feature(1_000 + number)), "e-9", at(700));
        }
        assertThat(isAllowed(800, PART)).isFalse();
    }

    @Test
    void reportsTellGuardedFeaturesInTurn() {
        block(PART);
        crash("e-1", 0, OTHER);
        assertThat(mSuspects.nextRecords(8, at(700)))
                .extracting(SuspectRecord::feature)
                .containsExactly(PART);
        crash("e-2", 800, OTHER);
        final List<SuspectRecord> first = mSuspects.nextRecords(1, at(900));
        final List<SuspectRecord> second = mSuspects.nextRecords(1, at(900));
        assertThat(first.get(0).feature()).isNotEqualTo(second.get(0).feature());
    }

    // Guards against a part that most daemons hold back and that is not in any report for a long
    // time, because all of them tell the same part of what they know.
    @Test
    void daemonsTellDifferentFeatures() {
        final Set<RequestFeature> told = new HashSet<>();
        for (int rank = 0; rank < 8; rank++) {
            final CrashSuspects daemon = new CrashSuspects();
            daemon.setRank(rank);
            for (int number = 0; number < 64; number++) {
                daemon.applyPeerCrash(run(2, feature(number)), "e-1", at(0));
            }
            daemon.nextRecords(8, at(10)).forEach(record -> told.add(record.feature()));
        }
        assertThat(told).hasSize(64);
    }

    @Test
    void daemonThatStartsLearnsFromReports() {
        block(PART, SOUND);
        final CrashSuspects started = new CrashSuspects();
        mSuspects.nextRecords(8, at(700)).forEach(r -> started.applyPeerRecord(r, at(710)));
        assertThat(decide(started, 800, PART, SOUND).isAllowed()).isFalse();
        assertThat(decide(started, 800, SOUND, OTHER).isAllowed()).isTrue();
    }
}
