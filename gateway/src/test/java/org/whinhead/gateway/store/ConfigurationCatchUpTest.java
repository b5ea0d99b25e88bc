package org.whinhead.gateway.store;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Random;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.exchange.TestServing;
import org.whinhead.serving.configuration.CallerLimits;
import org.whinhead.serving.configuration.ServingConfiguration;
import org.whinhead.serving.member.Member;
import org.whinhead.serving.member.MemberStatus;
import org.whinhead.serving.member.MemberTable;
import org.whinhead.serving.member.Relay;
import org.whinhead.serving.rollout.RolloutOrder;
import org.whinhead.serving.rollout.RolloutRecord;

class ConfigurationCatchUpTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final int RELAY_PORT = 7601;

    /** A record whose decoding fails in a way that nobody expects. */
    private static final byte[] UNEXPECTED = {1};

    private final List<Relay> mAsked = new ArrayList<>();
    private final List<Consumer<Optional<byte[]>>> mAnswers = new ArrayList<>();
    private Instant mNow = START;
    private final ServingState mState = TestServing.state(() -> mNow);
    private final MemberTable mMembers = new MemberTable(member("z", 9));
    private final ConfigurationTopicListener mListener =
            new ConfigurationTopicListener(
                    mState, ConfigurationCatchUpTest::decode, "config", new NoOrders());
    private final ConfigurationCatchUp mCatchUp =
            new ConfigurationCatchUp(mState, mMembers, this::ask, mListener, new Random(1));

    private static Member member(final String name, final int host) {
        final InetSocketAddress address = new InetSocketAddress("127.0.0." + host, 7600);
        return new Member(name, "i-" + name, "domain-a", address, address);
    }

    private static byte[] record(final long version) {
        return Long.toString(version).getBytes(StandardCharsets.US_ASCII);
    }

    private static ServingConfiguration decode(final byte[] value)
            throws UnreadableRecordException {
        if (value == UNEXPECTED) {
            throw new IllegalStateException("unexpected");
        }
        try {
            return new ServingConfiguration(
                    Long.parseLong(new String(value, StandardCharsets.US_ASCII)),
                    List.of(),
                    List.of(),
                    CallerLimits.INITIAL,
                    List.of());
        } catch (NumberFormatException e) {
            throw new UnreadableRecordException("no number", e);
        }
    }

    private void ask(
            final Relay daemon, final long version, final Consumer<Optional<byte[]>> onAnswer) {
        mAsked.add(daemon);
        mAnswers.add(onAnswer);
    }

    @BeforeEach
    void addDaemons() {
        final MemberStatus relaying =
                new MemberStatus(true, false, false, OptionalInt.of(RELAY_PORT));
        mMembers.recordReport(member("a", 1), relaying, START);
        mMembers.recordReport(member("b", 2), relaying, START);
        mListener.applyCopy(record(5));
    }

    private void answerNext(final Optional<byte[]> answer) {
        mAnswers.remove(0).accept(answer);
    }

    private void tickAfter(final int millis) {
        mNow = START.plusMillis(millis);
        mCatchUp.tick();
    }

    // Guards against a daemon that the store turns away keeping an older configuration that others
    // have replaced.
    @Test
    void daemonThatIsBehindTakesTheCopyOfAnother() {
        mState.configurationProgress().recordAnnounced(7, START);
        tickAfter(300);
        assertThat(mAsked).hasSize(1);
        answerNext(Optional.of(record(7)));
        assertThat(mState.configuration().current().orElseThrow().version()).isEqualTo(7);
        assertThat(mListener.copy().orElseThrow().version()).isEqualTo(7);
        tickAfter(600);
        assertThat(mAsked).hasSize(1);
    }

    @Test
    void ownReadIsAwaitedFirst() {
        mState.configurationProgress().recordAnnounced(7, START);
        tickAfter(200);
        assertThat(mAsked).isEmpty();
    }

    @Test
    void daemonWithTheNewestVersionAsksNobody() {
        mState.configurationProgress().recordAnnounced(5, START);
        tickAfter(1_000);
        assertThat(mAsked).isEmpty();
    }

    @Test
    void nextDaemonIsAskedIfTheFirstHasNothingNewer() {
        mState.configurationProgress().recordAnnounced(7, START);
        tickAfter(300);
        answerNext(Optional.empty());
        assertThat(mAsked).extracting(Relay::daemon).containsExactlyInAnyOrder("a", "b");
        answerNext(Optional.empty());
        tickAfter(500);
        assertThat(mAsked).hasSize(3);
    }

    // Guards against a daemon that asks nobody any more because one copy could not be applied.
    @Test
    void unexpectedExceptionDoesNotEndTheAsking() {
        mState.configurationProgress().recordAnnounced(7, START);
        tickAfter(300);
        answerNext(Optional.of(UNEXPECTED));
        answerNext(Optional.empty());
        tickAfter(500);
        assertThat(mAsked).hasSize(3);
    }

    @Test
    void nextDaemonIsNotAskedMeanwhile() {
        mState.configurationProgress().recordAnnounced(7, START);
        tickAfter(300);
        tickAfter(500);
        assertThat(mAsked).hasSize(1);
    }

    // Guards against a copy that brings back what a newer version has changed.
    @Test
    void olderCopyChangesNothing() {
        mListener.applyCopy(record(4));
        assertThat(mState.configuration().current().orElseThrow().version()).isEqualTo(5);
        assertThat(mListener.copy().orElseThrow().version()).isEqualTo(5);
    }

    // Guards against a record that can't be decoded taking the place of the one in force, or being
    // passed on.
    @Test
    void unreadableRecordLeavesTheVersionBeforeInForce() {
        mListener.onAppended(List.of(new StoreRecord("config", Optional.of(new byte[] {'x'}), 8)));
        assertThat(mState.configuration().current().orElseThrow().version()).isEqualTo(5);
        assertThat(mListener.copy().orElseThrow().version()).isEqualTo(5);
        assertThat(mState.configurationProgress().unreadableCount()).isEqualTo(1);
    }

    /** Decodes topics without roll-out orders. */
    private static final class NoOrders implements OperatorRolloutCodec {
        @Override
        public Optional<RolloutOrder> decodeOrder(final StoreRecord record) {
            return Optional.empty();
        }

        @Override
        public String statusKey(final String service) {
            return service;
        }

        @Override
        public byte[] encodeStatus(final RolloutRecord record) {
            throw new IllegalStateException("no order was decoded");
        }
    }
}
