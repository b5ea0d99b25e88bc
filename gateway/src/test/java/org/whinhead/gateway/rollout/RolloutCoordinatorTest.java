package org.whinhead.gateway.rollout;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.exchange.TestServing;
import org.whinhead.gateway.store.MetadataStore;
import org.whinhead.gateway.store.OperatorRolloutCodec;
import org.whinhead.gateway.store.StorePage;
import org.whinhead.gateway.store.StoreRecord;
import org.whinhead.gateway.store.StoreTopic;
import org.whinhead.serving.rollout.RolloutLimits;
import org.whinhead.serving.rollout.RolloutOrder;
import org.whinhead.serving.rollout.RolloutRecord;
import org.whinhead.serving.rollout.RolloutState;
import org.whinhead.serving.rollout.RolloutStep;

class RolloutCoordinatorTest {

    private static final RolloutOrder ORDER =
            new RolloutOrder("pool", "v2", Duration.ofSeconds(12), 7);
    private static final int DAEMONS = 9;

    private final FakeStore mStore = new FakeStore();
    private Instant mNow = Instant.parse("2026-01-01T00:00:00Z");
    private final ServingState mState = TestServing.state(() -> mNow);
    private final List<RolloutStep> mSteps = new ArrayList<>();
    private final RolloutCoordinator mCoordinator = coordinator(mState, mSteps);

    private RolloutCoordinator coordinator(
            final ServingState state, final List<RolloutStep> steps) {
        return new RolloutCoordinator(
                state,
                new RolloutLimits(0.1, 50),
                new RolloutStore(mStore, new StateNameCodec()),
                steps::add);
    }

    /**
     * Stores records in memory; can be unavailable, and can lose answers to writes that it carries
     * out.
     */
    private static final class FakeStore implements MetadataStore {
        private final Map<StoreTopic, List<StoreRecord>> mTopics = new EnumMap<>(StoreTopic.class);
        private boolean mUnavailable;
        private boolean mLosesAnswers;

        private List<StoreRecord> records(final StoreTopic topic) {
            return mTopics.computeIfAbsent(topic, name -> new ArrayList<>());
        }

        private List<String> values(final StoreTopic topic) {
            return records(topic).stream()
                    .map(record -> new String(record.value().orElseThrow()))
                    .toList();
        }

        @Override
        public CompletableFuture<StorePage> newest(final StoreTopic topic) {
            if (mUnavailable) {
                return CompletableFuture.failedFuture(new IllegalStateException("unavailable"));
            }
            final List<StoreRecord> all = records(topic);
            return CompletableFuture.completedFuture(
                    new StorePage(List.copyOf(all), all.size(), false));
        }

        @Override
        public CompletableFuture<StorePage> read(
                final StoreTopic topic, final long from, final Duration wait) {
            return newest(topic);
        }

        @Override
        public CompletableFuture<Long> append(
                final StoreTopic topic, final String key, final byte[] value) {
            throw new IllegalStateException("unconditional write");
        }

        @Override
        public CompletableFuture<OptionalLong> appendAt(
                final StoreTopic topic, final String key, final byte[] value, final long end) {
            final List<StoreRecord> all = records(topic);
            if (mUnavailable) {
                return CompletableFuture.failedFuture(new IllegalStateException("unavailable"));
            }
            if (end != all.size()) {
                return CompletableFuture.completedFuture(OptionalLong.empty());
            }
            all.add(new StoreRecord(key, Optional.of(value), end));
            return mLosesAnswers
                    ? CompletableFuture.failedFuture(new IllegalStateException("answer lost"))
                    : CompletableFuture.completedFuture(OptionalLong.of(end + 1));
        }
    }

    /** Encodes a status as the name of its state. */
    private static final class StateNameCodec implements OperatorRolloutCodec {
        @Override
        public Optional<RolloutOrder> decodeOrder(final StoreRecord record) {
            return Optional.empty();
        }

        @Override
        public String statusKey(final String service) {
            return "status/" + service;
        }

        @Override
        public byte[] encodeStatus(final RolloutRecord record) {
            return record.state().name().getBytes();
        }
    }

    @BeforeEach
    void registerOrder() {
        mState.rollouts().addOrder(ORDER);
    }

    private void tickUntil(final RolloutCoordinator holder, final long token, final long millis) {
        final Instant end = Instant.parse("2026-01-01T00:00:00Z").plusMillis(millis);
        while (mNow.isBefore(end)) {
            holder.tick(token, DAEMONS);
            mNow = mNow.plusMillis(200);
        }
    }

    private List<RolloutState> announcedStates(final List<RolloutStep> steps) {
        return steps.stream().map(RolloutStep::state).distinct().toList();
    }

    @Test
    void statusShowsStartAndEnd() {
        tickUntil(mCoordinator, 1, 13_000);

        assertThat(mStore.values(StoreTopic.STATUS)).containsExactly("RUNNING", "ROLLED_BACK");
        assertThat(announcedStates(mSteps))
                .containsExactly(RolloutState.RUNNING, RolloutState.ROLLED_BACK);
    }

    /**
     * Guards against a rollout that some daemons treat as ended while the next holder continues it:
     * the store is unavailable when this holder decides.
     */
    @Test
    void endIsNotAnnouncedBeforeItIsRecorded() {
        tickUntil(mCoordinator, 1, 5_000);
        mStore.mUnavailable = true;
        tickUntil(mCoordinator, 1, 13_000);
        assertThat(announcedStates(mSteps)).containsExactly(RolloutState.RUNNING);

        mStore.mUnavailable = false;
        tickUntil(mCoordinator, 1, 15_000);

        assertThat(mStore.values(StoreTopic.STATUS)).containsExactly("RUNNING", "ROLLED_BACK");
        assertThat(announcedStates(mSteps))
                .containsExactly(RolloutState.RUNNING, RolloutState.ROLLED_BACK);
    }

    /**
     * Guards against two final states of one order: the first write lands, but its answer is lost.
     */
    @Test
    void writeWithLostAnswerIsNotRepeated() {
        tickUntil(mCoordinator, 1, 5_000);
        mStore.mLosesAnswers = true;
        tickUntil(mCoordinator, 1, 13_000);
        mStore.mLosesAnswers = false;
        tickUntil(mCoordinator, 1, 15_000);

        assertThat(mStore.records(StoreTopic.ROLLOUTS)).hasSize(2);
        assertThat(mStore.values(StoreTopic.STATUS)).last().isEqualTo("ROLLED_BACK");
    }

    /**
     * Guards against a rollout that is completed a second after its rollback: its holder was paused
     * just before it wrote its decision, and another one decided meanwhile.
     */
    @Test
    void pausedHolderAdoptsRecordedEnd() {
        tickUntil(mCoordinator, 1, 5_000);
        final ServingState otherState = TestServing.state(() -> mNow);
        otherState.rollouts().addOrder(ORDER);
        final List<RolloutStep> otherSteps = new ArrayList<>();
        final RolloutCoordinator other = coordinator(otherState, otherSteps);
        tickUntil(other, 2, 13_000);
        assertThat(announcedStates(otherSteps)).last().isEqualTo(RolloutState.ROLLED_BACK);

        mCoordinator.tick(1, DAEMONS);
        tickUntil(mCoordinator, 1, 14_000);

        assertThat(mStore.records(StoreTopic.ROLLOUTS)).hasSize(2);
        assertThat(mState.rollouts().openOrders()).isEmpty();
    }

    /** Guards against a time budget that starts again with each holder. */
    @Test
    void nextHolderKeepsTheTimeBudget() {
        tickUntil(mCoordinator, 1, 8_000);
        final ServingState otherState = TestServing.state(() -> mNow);
        otherState.rollouts().addOrder(ORDER);
        final RolloutCoordinator other = coordinator(otherState, new ArrayList<>());
        tickUntil(other, 2, 12_400);

        assertThat(mStore.values(StoreTopic.STATUS)).last().isEqualTo("ROLLED_BACK");
    }
}
