package org.whinhead.serving.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class CrashSuspectsTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final RequestIdentity REQUEST = new RequestIdentity(1, 2, 4);
    private static final RequestIdentity OTHER = new RequestIdentity(1, 2, 5);

    private final CrashSuspects mSuspects = new CrashSuspects();

    private static Instant at(final long millis) {
        return START.plusMillis(millis);
    }

    private boolean isAllowed(final long millis) {
        return mSuspects.decide(REQUEST, at(millis)).isAllowed();
    }

    private void block() {
        mSuspects.recordCrash(REQUEST, "e-1", 0, false, at(0));
        mSuspects.recordCrash(REQUEST, "e-2", 1, false, at(50));
        mSuspects.recordCrash(REQUEST, "e-3", 2, false, at(100));
    }

    @Test
    void unknownRequestRuns() {
        assertThat(isAllowed(0)).isTrue();
        assertThat(mSuspects.mayKnow(REQUEST.shape())).isFalse();
    }

    // Guards against a request that crashes one endpoint after the other.
    @Test
    void requestIsRefusedAfterThreeCrashesInTurn() {
        block();
        assertThat(mSuspects.level(REQUEST, at(100))).isEqualTo(CrashSuspects.BLOCKED_LEVEL);
        assertThat(isAllowed(200)).isFalse();
        assertThat(isAllowed(5_000)).isFalse();
        assertThat(mSuspects.blockedCount()).isEqualTo(1);
        assertThat(mSuspects.decide(OTHER, at(200)).isAllowed()).isTrue();
    }

    // Guards against a common request that is refused because endpoints are lost together.
    @Test
    void endpointsLostTogetherCountOnce() {
        mSuspects.recordCrash(REQUEST, "e-1", 0, false, at(0));
        mSuspects.recordCrash(REQUEST, "e-2", 0, false, at(3));
        assertThat(mSuspects.level(REQUEST, at(3))).isEqualTo(1);
        assertThat(isAllowed(10)).isTrue();
    }

    // Guards against a request of which many copies crash endpoints before the first crash is
    // known.
    @Test
    void threeEndpointsLostTogetherPutRequestUnderGuard() {
        mSuspects.setDaemons(3, 0);
        mSuspects.recordCrash(REQUEST, "e-1", 0, false, at(0));
        mSuspects.recordCrash(REQUEST, "e-1", 0, false, at(1));
        mSuspects.recordCrash(REQUEST, "e-2", 0, false, at(2));
        assertThat(isAllowed(3)).isTrue();
        mSuspects.recordCrash(REQUEST, "e-3", 0, false, at(3));
        assertThat(isAllowed(900)).isTrue();
        assertThat(isAllowed(1_010)).isFalse();
    }

    @Test
    void laterCrashCountsAlthoughItsRunBeganBefore() {
        mSuspects.recordCrash(REQUEST, "e-1", 0, false, at(0));
        mSuspects.recordCrash(REQUEST, "e-2", 0, false, at(1_000));
        assertThat(mSuspects.level(REQUEST, at(1_000))).isEqualTo(2);
    }

    @Test
    void answerEndsSuspicion() {
        block();
        assertThat(mSuspects.recordAnswer(REQUEST, at(200))).isTrue();
        assertThat(isAllowed(201)).isTrue();
        assertThat(mSuspects.recordAnswer(REQUEST, at(300))).isFalse();
        assertThat(mSuspects.mayKnow(REQUEST.shape())).isFalse();
    }

    // Guards against an innocent request that comes under suspicion again by the report of a daemon
    // that has not heard of its answer.
    @Test
    void reportOlderThanAnswerIsAnsweredAndIgnored() {
        mSuspects.recordCrash(REQUEST, "e-1", 0, false, at(0));
        mSuspects.recordAnswer(REQUEST, at(10));
        final SuspectRecord record = new SuspectRecord(REQUEST, 3, Duration.ofMinutes(5));
        assertThat(mSuspects.applyPeerRecord(record, at(20))).isTrue();
        assertThat(isAllowed(20)).isTrue();
        assertThat(mSuspects.applyPeerRecord(record, at(40_000))).isFalse();
        assertThat(isAllowed(40_000)).isFalse();
    }

    @Test
    void crashesAtOtherDaemonsCount() {
        mSuspects.applyPeerCrash(REQUEST, "e-1", 1, at(0));
        assertThat(mSuspects.recordCrash(REQUEST, "e-2", 1, false, at(100))).isEqualTo(2);
        mSuspects.applyPeerCrash(REQUEST, "e-3", 3, at(200));
        assertThat(isAllowed(300)).isFalse();
        mSuspects.applyPeerAnswer(REQUEST, at(400));
        assertThat(isAllowed(400)).isTrue();
    }

    @Test
    void guardedRequestRunsOnceAtOneDaemonOnly() {
        int allowed = 0;
        for (int rank = 0; rank < 3; rank++) {
            final CrashSuspects daemon = new CrashSuspects();
            daemon.setDaemons(3, rank);
            daemon.applyPeerCrash(REQUEST, "e-1", CrashSuspects.GUARDED_LEVEL, at(0));
            if (daemon.decide(REQUEST, at(10)).isAllowed()) {
                allowed++;
                daemon.recordStart(REQUEST, at(10));
                assertThat(daemon.decide(REQUEST, at(20)).isAllowed()).isFalse();
                daemon.recordEnd(REQUEST);
                assertThat(daemon.decide(REQUEST, at(30)).isAllowed()).isTrue();
            }
        }
        assertThat(allowed).isEqualTo(1);
    }

    // Guards against a request that is refused for good although its endpoints have been mended.
    @Test
    void blockedRequestIsTriedAfterGrowingPauses() {
        block();
        assertThat(isAllowed(5_100)).isTrue();
        mSuspects.recordStart(REQUEST, at(5_100));
        mSuspects.recordCrash(REQUEST, "e-4", 3, false, at(5_200));
        mSuspects.recordEnd(REQUEST);
        assertThat(isAllowed(35_100)).isFalse();
        assertThat(mSuspects.decide(REQUEST, at(25_200)).retryAfter())
                .isEqualTo(Duration.ofSeconds(10));
        assertThat(isAllowed(35_200)).isTrue();
    }

    @Test
    void trialWithoutResultIsNotRepeatedAtOnce() {
        block();
        mSuspects.recordStart(REQUEST, at(5_100));
        mSuspects.recordEnd(REQUEST);
        assertThat(isAllowed(5_200)).isFalse();
        assertThat(isAllowed(10_100)).isTrue();
    }

    @Test
    void requestThatDoesNotComeAgainIsForgotten() {
        block();
        assertThat(isAllowed(Duration.ofMinutes(11).toMillis())).isTrue();
        assertThat(mSuspects.size()).isZero();
    }

    @Test
    void refusalsKeepTheMemory() {
        block();
        for (int minute = 0; minute < 30; minute++) {
            mSuspects.decide(REQUEST, at(Duration.ofMinutes(minute).toMillis()));
        }
        assertThat(mSuspects.size()).isEqualTo(1);
    }

    // Guards against memory that grows with each request that is on an endpoint that crashes.
    @Test
    void memoryIsBounded() {
        block();
        for (int number = 0; number < 10_000; number++) {
            mSuspects.recordCrash(new RequestIdentity(number, number, 9), "e-9", 0, false, at(200));
        }
        assertThat(mSuspects.size()).isLessThanOrEqualTo(4_096);
    }

    // Guards against a request that crashes endpoints being forgotten because many innocent ones
    // were
    // on endpoints that crashed later.
    @Test
    void requestHeldBackOutlivesManySuspectsOfOneCrash() {
        block();
        for (int number = 0; number < 10_000; number++) {
            mSuspects.recordCrash(new RequestIdentity(number, number, 9), "e-9", 0, false, at(200));
        }
        assertThat(isAllowed(300)).isFalse();
    }

    @Test
    void reportsTellGuardedRequestsInTurn() {
        block();
        mSuspects.recordCrash(OTHER, "e-1", 0, false, at(0));
        assertThat(mSuspects.nextRecords(8, at(200)))
                .extracting(SuspectRecord::identity)
                .containsExactly(REQUEST);
        mSuspects.recordCrash(OTHER, "e-2", 1, false, at(300));
        final List<SuspectRecord> first = mSuspects.nextRecords(1, at(400));
        final List<SuspectRecord> second = mSuspects.nextRecords(1, at(400));
        assertThat(first.get(0).identity()).isNotEqualTo(second.get(0).identity());
    }

    // Guards against a request that most daemons hold back and that is not in any report for a long
    // time, because all of them tell the same part of what they know.
    @Test
    void daemonsTellDifferentRequests() {
        final Set<RequestIdentity> told = new HashSet<>();
        for (int rank = 0; rank < 8; rank++) {
            final CrashSuspects daemon = new CrashSuspects();
            daemon.setDaemons(8, rank);
            for (int number = 0; number < 64; number++) {
                daemon.applyPeerCrash(new RequestIdentity(number, number, 9), "e-1", 2, at(0));
            }
            daemon.nextRecords(8, at(10)).forEach(record -> told.add(record.identity()));
        }
        assertThat(told).hasSize(64);
    }

    @Test
    void daemonThatStartsLearnsFromReports() {
        block();
        final CrashSuspects started = new CrashSuspects();
        mSuspects.nextRecords(8, at(200)).forEach(r -> started.applyPeerRecord(r, at(210)));
        assertThat(started.decide(REQUEST, at(300)).isAllowed()).isFalse();
    }

    // Guards against a common request that is refused for seconds because its endpoints were lost
    // one after the other within milliseconds, and each daemon sent it on to the next one.
    @Test
    void requestThatWasAnsweredBeforeIsOnlyGuardedForOneEvent() {
        mSuspects.recordCrash(REQUEST, "e-1", 0, true, at(0));
        mSuspects.recordCrash(REQUEST, "e-2", 1, true, at(40));
        mSuspects.recordCrash(REQUEST, "e-3", 2, true, at(41));
        assertThat(mSuspects.level(REQUEST, at(41))).isEqualTo(CrashSuspects.GUARDED_LEVEL);
        assertThat(isAllowed(100)).isTrue();
    }

    // Guards against a request that begins to crash endpoints after it was answered.
    @Test
    void requestThatWasAnsweredBeforeIsRefusedAfterLaterCrashes() {
        mSuspects.recordCrash(REQUEST, "e-1", 0, true, at(0));
        mSuspects.recordCrash(REQUEST, "e-2", 1, true, at(300));
        mSuspects.recordCrash(REQUEST, "e-3", 2, true, at(600));
        assertThat(isAllowed(700)).isFalse();
    }
}
