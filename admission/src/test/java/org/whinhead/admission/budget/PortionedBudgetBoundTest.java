package org.whinhead.admission.budget;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.whinhead.admission.BudgetDecision;
import org.whinhead.api.model.DaemonId;
import org.whinhead.api.model.TeamId;
import org.whinhead.api.request.RequestId;

/**
 * Checks the documented bound of {@link PortionedBudget} while holders fail, resume and run
 * concurrently, and requests and portions are lost, duplicated and delayed.
 */
class PortionedBudgetBoundTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final TeamId TEAM = new TeamId("clinics");
    private static final long TOKENS_PER_SECOND = 1000;
    private static final int DAEMONS = 3;
    private static final int TICKS = 400;
    private static final Duration TICK = Duration.ofMillis(100);
    private static final long LARGEST_REQUEST_TOKENS = 60;

    private final List<PortionAllocator> mAllocators = new ArrayList<>();
    private final List<PortionedBudget> mBudgets = new ArrayList<>();
    private final List<DelayedPortion> mInTransit = new ArrayList<>();
    private final long[] mReserved = new long[TICKS];
    private Random mRandom;
    private int mCurrentHolder;
    private int mHolderChanges;

    @Property(seed = "31", tries = 150)
    void boundHoldsInEveryIntervalWithoutFallbackShare(@ForAll final long seed) {
        run(seed, settings(0));
        assertBound(settings(0));
    }

    @Property(seed = "32", tries = 150)
    void boundHoldsInEveryIntervalWithFallbackShare(
            @ForAll final long seed, @ForAll @IntRange(min = 1, max = 4) final int quarters) {
        run(seed, settings(quarters / 4.0));
        assertBound(settings(quarters / 4.0));
    }

    private void run(final long seed, final BudgetSettings settings) {
        reset();
        mRandom = new Random(seed);
        for (int i = 0; i < DAEMONS; i++) {
            final List<TeamRate> rates = List.of(new TeamRate(TEAM, TOKENS_PER_SECOND));
            final DaemonId id = new DaemonId("d" + i);
            mAllocators.add(new PortionAllocator(id, settings));
            mAllocators.get(i).ratesChanged(rates, START);
            mBudgets.add(new PortionedBudget(id, settings));
            mBudgets.get(i).ratesChanged(rates, DAEMONS, START);
        }
        for (int tick = 0; tick < TICKS; tick++) {
            tick(tick, START.plus(TICK.multipliedBy(tick)));
        }
    }

    /** Clears the state, since all tries of a property share one instance. */
    private void reset() {
        mAllocators.clear();
        mBudgets.clear();
        mInTransit.clear();
        Arrays.fill(mReserved, 0);
        mCurrentHolder = 0;
        mHolderChanges = 0;
    }

    private void tick(final int tick, final Instant now) {
        if (mRandom.nextInt(25) == 0) {
            mCurrentHolder = mRandom.nextInt(DAEMONS);
            mHolderChanges++;
        }
        if (mRandom.nextInt(4) > 0) {
            mAllocators
                    .get(mCurrentHolder)
                    .nextWindow(now)
                    .ifPresent(window -> mAllocators.forEach(holder -> holder.applyWindow(window)));
        }
        for (int daemon = 0; daemon < DAEMONS; daemon++) {
            for (final PortionRequest portionRequest : mBudgets.get(daemon).portionRequests(now)) {
                sendRequest(daemon, portionRequest, now, tick);
            }
        }
        deliver(now, tick);
        for (int i = 0; i < 12; i++) {
            final long tokens = 1 + mRandom.nextInt((int) LARGEST_REQUEST_TOKENS);
            final RequestId request = new RequestId(tick + "-" + i);
            final PortionedBudget budget = mBudgets.get(mRandom.nextInt(DAEMONS));
            if (budget.reserve(request, TEAM, tokens, now).equals(BudgetDecision.RESERVED)) {
                mReserved[tick] += tokens;
            }
        }
    }

    private void sendRequest(
            final int daemon,
            final PortionRequest portionRequest,
            final Instant now,
            final int tick) {
        for (int holder = 0; holder < DAEMONS; holder++) {
            final boolean isReceived = holder == mCurrentHolder || mRandom.nextInt(4) == 0;
            for (int copy = 0; isReceived && copy < mRandom.nextInt(3); copy++) {
                mAllocators
                        .get(holder)
                        .grant(portionRequest, now)
                        .ifPresent(portion -> sendPortion(daemon, portion, tick));
            }
        }
    }

    private void sendPortion(final int daemon, final Portion portion, final int tick) {
        for (int copy = 0; copy < mRandom.nextInt(3); copy++) {
            final int delay = mRandom.nextInt(mRandom.nextInt(8) == 0 ? 20 : 2);
            mInTransit.add(new DelayedPortion(daemon, portion, tick + delay));
        }
    }

    private void deliver(final Instant now, final int tick) {
        for (final DelayedPortion delayed : List.copyOf(mInTransit)) {
            if (delayed.arrives() <= tick) {
                mInTransit.remove(delayed);
                mBudgets.get(delayed.daemon()).portionReceived(delayed.portion(), now);
            }
        }
    }

    private void assertBound(final BudgetSettings settings) {
        final double saved = settings.burst().toMillis() / 1000.0;
        final double life = settings.portionLife().toMillis() / 1000.0;
        final double fallbackRate = settings.fallbackShare() * TOKENS_PER_SECOND;
        long mostReserved = 0;
        for (int from = 0; from < TICKS; from++) {
            long sum = 0;
            for (int to = from; to < TICKS; to++) {
                sum += mReserved[to];
                final double seconds = (to - from + 1) * TICK.toMillis() / 1000.0;
                final double bound =
                        TOKENS_PER_SECOND * (seconds + saved + life)
                                + (1 + mHolderChanges) * LARGEST_REQUEST_TOKENS
                                + fallbackRate * (seconds + saved);
                assertThat((double) sum).isLessThanOrEqualTo(bound);
            }
            mostReserved = Math.max(mostReserved, sum);
        }
        final double income = TOKENS_PER_SECOND * TICKS * TICK.toMillis() / 1000.0;
        assertThat(mostReserved / income)
                .as("share of the income that was spent")
                .isGreaterThan(0.25);
    }

    private static BudgetSettings settings(final double fallbackShare) {
        return new BudgetSettings(
                Duration.ofSeconds(3),
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                Duration.ofMillis(200),
                Duration.ofMillis(800),
                fallbackShare);
    }

    /** A portion in transit, with its daemon and the tick of its arrival. */
    private record DelayedPortion(int daemon, Portion portion, int arrives) {}
}
