package org.whinhead.gateway.peers;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.exchange.TestServing;
import org.whinhead.gateway.generated.GatewayProto.Datagram;
import org.whinhead.serving.member.Member;
import org.whinhead.serving.member.MemberStatus;
import org.whinhead.serving.member.MemberTable;
import org.whinhead.serving.speed.SpeedKind;
import org.whinhead.serving.speed.SpeedSample;

class SpeedMessengerTest {

    private static final int ENDPOINTS = 20;
    private static final int SAMPLE_MILLIS = 100;
    private static final double SLOWNESS = 5;

    /** The time for which each endpoint in turn is slow. */
    private static final int SLOW_MILLIS = 800;

    /** The messages that tell of one change. */
    private static final int MESSAGES_OF_CHANGE = 8;

    /** The messages per second that a daemon may receive, those of one change of each aside. */
    private static final double RECEIVED_PER_SECOND = 45;

    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final List<Datagram> mSent = new ArrayList<>();
    private final MemberTable mMembers = new MemberTable(member(0));
    private Instant mNow = Instant.parse("2026-01-01T00:00:00Z");
    private final ServingState mState = TestServing.learningState(() -> mNow);

    SpeedMessengerTest() {
        new SpeedMessenger(mChannel.eventLoop(), mState, mMembers, mSent::add);
    }

    private static Member member(final int number) {
        final InetSocketAddress address = new InetSocketAddress("127.0.0.1", 7_000 + number);
        return new Member("d-" + number, "i-" + number, "domain-a", address, address);
    }

    private void addPeers(final int count) {
        for (int number = 1; number <= count; number++) {
            mMembers.recordReport(
                    member(number),
                    new MemberStatus(true, false, false, OptionalInt.empty()),
                    mNow);
        }
    }

    private void record(final int endpoint, final double slowness) {
        mState.chooser()
                .speeds()
                .orElseThrow()
                .record(
                        SpeedSample.builder("pool", "e-" + endpoint)
                                .kind(SpeedKind.BETWEEN_TOKENS)
                                .times(
                                        Duration.ofMillis(100),
                                        Duration.ofMillis(Math.round(100 * slowness)))
                                .running(8)
                                .build(),
                        mNow);
    }

    /** Lets time pass, in which one endpoint is slow; none with a negative number. */
    private void serve(final int millis, final int slow) {
        for (int passed = 0; passed < millis; passed++) {
            if (passed % SAMPLE_MILLIS == 0) {
                // Reports must be taken, or the samples count as those of a process that stood.
                mState.chooser().speeds().orElseThrow().takeReports(mNow);
                for (int endpoint = 0; endpoint < ENDPOINTS; endpoint++) {
                    record(endpoint, endpoint == slow ? SLOWNESS : 1);
                }
            }
            mNow = mNow.plusMillis(1);
            mChannel.advanceTimeBy(1, TimeUnit.MILLISECONDS);
            mChannel.runScheduledPendingTasks();
        }
    }

    // Guards against an endpoint that turned slow and still gets its work from other daemons.
    @ParameterizedTest
    @ValueSource(ints = {7, 60, 329})
    void changeIsToldEightTimesInAnyDeployment(final int peers) {
        addPeers(peers);
        serve(3_000, -1);
        serve(1_500, 0);
        assertThat(mSent).hasSizeBetween(MESSAGES_OF_CHANGE - 1, MESSAGES_OF_CHANGE);
    }

    // Guards against daemons of a large deployment that have no time for callers, as each tells all
    // others of every endpoint that is slow for a moment.
    @ParameterizedTest
    @ValueSource(ints = {60, 329})
    void messagesOfManyChangesAreBoundedForTheWholeDeployment(final int peers) {
        addPeers(peers);
        serve(3_000, -1);
        final int seconds = 12;
        for (int slow = 0; slow < seconds * 1_000 / SLOW_MILLIS; slow++) {
            serve(SLOW_MILLIS, slow % ENDPOINTS);
        }
        assertThat(mSent.size())
                .isGreaterThanOrEqualTo(MESSAGES_OF_CHANGE)
                .isLessThanOrEqualTo(
                        (int)
                                (MESSAGES_OF_CHANGE
                                        + RECEIVED_PER_SECOND * (3 + seconds) / peers
                                        + 1));
    }
}
