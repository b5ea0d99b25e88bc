package org.whinhead.serving.usage;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import org.junit.jupiter.api.Test;

class FleetClockTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private Instant mSteady = START;
    private Duration mJump = Duration.ZERO;
    private final FleetClock mClock = new FleetClock(() -> mSteady, () -> mSteady.plus(mJump));

    private void reportPeerTimes(final Duration ahead) {
        for (int daemon = 0; daemon < 3; daemon++) {
            mClock.recordPeerTime("daemon-" + daemon, mSteady.plus(ahead));
        }
        mClock.syncWithPeers();
    }

    // The usage of a window is reported with half of its requests: some machines' time of day was
    // set back by five seconds, and they counted into a window that was reported already.
    @Test
    void timeOfDayJumpIsIgnored() {
        reportPeerTimes(Duration.ZERO);
        mJump = Duration.ofSeconds(-5);
        assertThat(mClock.instant()).isEqualTo(mSteady);
        reportPeerTimes(Duration.ZERO);
        assertThat(mClock.instant()).isEqualTo(mSteady);
    }

    // A machine is suspended for three seconds. Its steady clock stood still, so its time of day
    // seems to jump; yet it is right, and the others confirm it.
    @Test
    void clockIsCorrectAfterSuspension() {
        reportPeerTimes(Duration.ZERO);
        mJump = Duration.ofSeconds(3);
        reportPeerTimes(Duration.ofSeconds(3));
        assertThat(mClock.instant()).isEqualTo(mSteady.plusSeconds(3));
    }

    @Test
    void clockFollowsPeersAfterStartWithWrongTime() {
        mJump = Duration.ofSeconds(2);
        mClock.instant();
        reportPeerTimes(Duration.ZERO);
        assertThat(mClock.instant()).isEqualTo(mSteady);
    }

    @Test
    void timeOfDayDriftIsFollowed() {
        reportPeerTimes(Duration.ZERO);
        mJump = Duration.ofMillis(30);
        assertThat(mClock.instant()).isEqualTo(mSteady.plusMillis(30));
    }

    @Test
    void clockWithoutPeersFollowsMachine() {
        mJump = Duration.ofSeconds(3);
        assertThat(mClock.instant()).isEqualTo(mSteady.plusSeconds(3));
    }

    @Test
    void silentPeersAreIgnored() {
        reportPeerTimes(Duration.ofSeconds(9));
        mSteady = mSteady.plusSeconds(10);
        mClock.syncWithPeers();
        assertThat(mClock.instant()).isEqualTo(mSteady);
    }

    // Of two daemons one is suspended for three seconds, and counts usage three seconds late from
    // then on: one other has no majority, so its word was not taken even for what the machine says.
    @Test
    void singlePeerConfirmsMachineTime() {
        mClock.recordPeerTime("other", mSteady);
        mClock.syncWithPeers();
        mJump = Duration.ofSeconds(3);
        assertThat(mClock.instant()).isEqualTo(mSteady);
        mClock.recordPeerTime("other", mSteady.plusSeconds(3));
        mClock.syncWithPeers();
        assertThat(mClock.instant()).isEqualTo(mSteady.plusSeconds(3));
    }

    @Test
    void singleDifferingPeerIsIgnored() {
        mClock.recordPeerTime("other", mSteady.plusSeconds(7));
        mClock.syncWithPeers();
        assertThat(mClock.instant()).isEqualTo(mSteady);
    }
}
