package org.whinhead.gateway.duty;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.exchange.ServingState;
import org.whinhead.gateway.exchange.TestServing;
import org.whinhead.serving.capacity.CapacityOrder;
import org.whinhead.serving.duty.UsageDecider;
import org.whinhead.serving.duty.UsageDecision;

class UsageReporterTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private final ScriptedCloud mCloud = new ScriptedCloud();
    private Instant mNow = START;
    private final ServingState mState = TestServing.state(() -> mNow);
    private final UsageReporter mReporter =
            new UsageReporter(
                    mState, mCloud, new UsageDecider(mState.usageWindows(), mState.usage(), START));

    private static final class ScriptedCloud implements FencedCloudClient {
        private final List<Long> mReportedWindows = new ArrayList<>();
        private boolean mFails;

        @Override
        public CompletableFuture<Boolean> reportUsage(
                final long token, final UsageDecision decision) {
            mReportedWindows.add(decision.window());
            return mFails
                    ? CompletableFuture.failedFuture(new IllegalStateException("no answer"))
                    : CompletableFuture.completedFuture(true);
        }

        @Override
        public CompletableFuture<OrderAnswer> order(final long token, final CapacityOrder order) {
            throw new UnsupportedOperationException("usage only");
        }
    }

    /** Moves on by windows and reports; returns the decisions. */
    private List<UsageDecision> report(final List<UsageDecision> previous, final int windows) {
        mNow = mNow.plus(mState.usageWindows().length().multipliedBy(windows));
        final List<UsageDecision> decisions = mReporter.decide(previous, age -> false);
        mReporter.reportUndelivered(decisions, () -> Optional.of(1L));
        return decisions;
    }

    @Test
    void eachWindowIsReportedOnce() {
        mNow = mNow.plus(Duration.ofSeconds(3));
        final List<UsageDecision> first = report(List.of(), 1);
        final List<UsageDecision> second = report(first, 1);
        report(second, 0);
        assertThat(second).hasSize(2);
        assertThat(mCloud.mReportedWindows)
                .containsExactly(second.get(0).window(), second.get(1).window());
    }

    /** Guards against a bill that lacks a window because its report failed once. */
    @Test
    void failedReportIsRepeated() {
        mNow = mNow.plus(Duration.ofSeconds(3));
        mCloud.mFails = true;
        final List<UsageDecision> decisions = report(List.of(), 1);
        mCloud.mFails = false;
        report(decisions, 0);
        report(decisions, 0);
        final long window = decisions.get(0).window();
        assertThat(mCloud.mReportedWindows).containsExactly(window, window);
    }

    @Test
    void nothingIsReportedWithoutLease() {
        mNow = mNow.plus(Duration.ofSeconds(3)).plus(mState.usageWindows().length());
        mReporter.reportUndelivered(mReporter.decide(List.of(), age -> false), Optional::empty);
        assertThat(mCloud.mReportedWindows).isEmpty();
    }
}
