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
 * The stated overspend bound while holders die, wake up again and race, and questions and answers
 * are lost, doubled and late.
 */
class PortionedBudgetBoundTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final TeamId TEAM = new TeamId("clinics");
    private static final long RATE = 1000;
    private static final int DAEMONS = 3;
    private static final int TICKS = 400;
    private static final Duration TICK = Duration.ofMillis(100);
    private static final long LARGEST = 60;

    private final List<PortionAllocator> mHolders = new ArrayList<>();
    private final List<PortionedBudget> mLedgers = new ArrayList<>();
    private final List<Answer> mOnTheWay = new ArrayList<>();
    private final long[] mReserved = new long[TICKS];
    private Random mRandom;
    private int mHolder;
    private int mChanges;

    @Property(seed = "31", tries = 150)
    void withoutEvenShareTheBoundHoldsInEveryInterval(@ForAll final long seed) {
        run(seed, settings(0));
        assertBound(settings(0));
    }

    @Property(seed = "32", tries = 150)
    void withEvenShareTheBoundHoldsInEveryInterval(
            @ForAll final long seed, @ForAll @IntRange(min = 1, max = 4) final int quarters) {
        run(seed, settings(quarters / 4.0));
        assertBound(settings(quarters / 4.0));
    }

    private void run(final long seed, final BudgetSettings settings) {
        reset();
        mRandom = new Random(seed);
        for (int i = 0; i < DAEMONS; i++) {
            final List<TeamRate> rates = List.of(new TeamRate(TEAM, RATE));
            final DaemonId id = new DaemonId("d" + i);
            mHolders.add(new PortionAllocator(id, settings));
            mHolders.get(i).ratesChanged(rates, START);
            mLedgers.add(new PortionedBudget(id, settings));
            mLedgers.get(i).ratesChanged(rates, DAEMONS, START);
        }
        for (int tick = 0; tick < TICKS; tick++) {
            tick(tick, START.plus(TICK.multipliedBy(tick)));
        }
    }

    /** All tries of a property share one instance. */
    private void reset() {
        mHolders.clear();
        mLedgers.clear();
        mOnTheWay.clear();
        Arrays.fill(mReserved, 0);
        mHolder = 0;
        mChanges = 0;
    }

    private void tick(final int tick, final Instant now) {
        if (mRandom.nextInt(25) == 0) {
            mHolder = mRandom.nextInt(DAEMONS);
            mChanges++;
        }
        if (mRandom.nextInt(4) > 0) {
            mHolders.get(mHolder)
                    .nextWindow(now)
                    .ifPresent(window -> mHolders.forEach(holder -> holder.applyWindow(window)));
        }
        for (int daemon = 0; daemon < DAEMONS; daemon++) {
            for (final PortionRequest question : mLedgers.get(daemon).portionRequests(now)) {
                ask(daemon, question, now, tick);
            }
        }
        deliver(now, tick);
        for (int i = 0; i < 12; i++) {
            final long tokens = 1 + mRandom.nextInt((int) LARGEST);
            final RequestId request = new RequestId(tick + "-" + i);
            final PortionedBudget ledger = mLedgers.get(mRandom.nextInt(DAEMONS));
            if (ledger.reserve(request, TEAM, tokens, now).equals(BudgetDecision.RESERVED)) {
                mReserved[tick] += tokens;
            }
        }
    }

    private void ask(
            final int daemon, final PortionRequest question, final Instant now, final int tick) {
        for (int holder = 0; holder < DAEMONS; holder++) {
            final boolean isMeant = holder == mHolder || mRandom.nextInt(4) == 0;
            for (int copy = 0; isMeant && copy < mRandom.nextInt(3); copy++) {
                mHolders.get(holder)
                        .grant(question, now)
                        .ifPresent(portion -> send(daemon, portion, tick));
            }
        }
    }

    private void send(final int daemon, final Portion portion, final int tick) {
        for (int copy = 0; copy < mRandom.nextInt(3); copy++) {
            final int delay = mRandom.nextInt(mRandom.nextInt(8) == 0 ? 20 : 2);
            mOnTheWay.add(new Answer(daemon, portion, tick + delay));
        }
    }

    private void deliver(final Instant now, final int tick) {
        for (final Answer answer : List.copyOf(mOnTheWay)) {
            if (answer.arrives() <= tick) {
                mOnTheWay.remove(answer);
                mLedgers.get(answer.daemon()).portionReceived(answer.portion(), now);
            }
        }
    }

    private void assertBound(final BudgetSettings settings) {
        final double saved = settings.burst().toMillis() / 1000.0;
        final double life = settings.portionLife().toMillis() / 1000.0;
        final double evenRate = settings.fallbackShare() * RATE;
        long total = 0;
        for (int from = 0; from < TICKS; from++) {
            long sum = 0;
            for (int to = from; to < TICKS; to++) {
                sum += mReserved[to];
                final double seconds = (to - from + 1) * TICK.toMillis() / 1000.0;
                final double bound =
                        RATE * (seconds + saved + life)
                                + (1 + mChanges) * LARGEST
                                + evenRate * (seconds + saved);
                assertThat((double) sum).isLessThanOrEqualTo(bound);
            }
            total = Math.max(total, sum);
        }
        final double income = RATE * TICKS * TICK.toMillis() / 1000.0;
        assertThat(total / income).as("share of the income that was spent").isGreaterThan(0.25);
    }

    private static BudgetSettings settings(final double evenShare) {
        return new BudgetSettings(
                Duration.ofSeconds(3),
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                Duration.ofMillis(200),
                Duration.ofMillis(800),
                evenShare);
    }

    /** An answer on its way. */
    private record Answer(int daemon, Portion portion, int arrives) {}
}
