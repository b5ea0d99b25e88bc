package org.whinhead.simulation.capacity;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.random.RandomGenerator;

/** The FIFO queue of callers' requests to one service. */
final class SimulatedQueue {

    private final CapacityDay.Demand mDemand;
    private final RandomGenerator mRandom;
    private final Deque<Request> mWaiting = new ArrayDeque<>();
    private double mOfferedTokens;
    private double mAvailableTokens;

    SimulatedQueue(final CapacityDay.Demand demand, final RandomGenerator random) {
        mDemand = demand;
        mRandom = random;
    }

    /** Adds random requests of random sizes for one step and returns their tokens. */
    double addArrivals(final double now, final double seconds) {
        double remaining = tokensPerSecond(now) * seconds;
        double arrived = 0;
        while (mRandom.nextDouble() < remaining / mDemand.requestTokens()) {
            final double tokens = mDemand.requestTokens() * (0.25 + 1.5 * mRandom.nextDouble());
            mWaiting.add(new Request(now, tokens));
            arrived += tokens;
            remaining -= mDemand.requestTokens();
        }
        mOfferedTokens += arrived;
        return arrived;
    }

    private double tokensPerSecond(final double now) {
        if (now < 0) {
            return 0;
        }
        final double wave =
                1 + mDemand.swing() * Math.sin(2 * Math.PI * now / mDemand.periodSeconds());
        double factor = 1;
        for (final CapacityDay.Burst burst : mDemand.bursts()) {
            if (now >= burst.at() && now < burst.at() + burst.forSeconds()) {
                factor = Math.max(factor, burst.factor());
            }
        }
        return mDemand.tokensPerSecond() * wave * factor;
    }

    /** Serves requests with the tokens of one step and drops requests past their deadline. */
    ServedTokens serve(final double now, final double tokens) {
        mAvailableTokens += tokens;
        double inTime = 0;
        double late = 0;
        double lost = 0;
        while (!mWaiting.isEmpty()) {
            final Request next = mWaiting.peek();
            final double waited = now - next.arrivedAt();
            if (waited > mDemand.deadlineSeconds()) {
                lost += next.tokens();
            } else if (mAvailableTokens < next.tokens()) {
                break;
            } else {
                mAvailableTokens -= next.tokens();
                if (waited <= mDemand.targetSeconds()) {
                    inTime += next.tokens();
                } else {
                    late += next.tokens();
                }
            }
            mWaiting.poll();
        }
        if (mWaiting.isEmpty()) {
            // Capacity that was idle while no request waited is not saved for later.
            mAvailableTokens = 0;
        }
        return new ServedTokens(inTime, late, lost);
    }

    double offeredTokens() {
        return mOfferedTokens;
    }

    /** The tokens of requests that ended in a step. */
    record ServedTokens(double inTime, double late, double lost) {}

    private record Request(double arrivedAt, double tokens) {}
}
