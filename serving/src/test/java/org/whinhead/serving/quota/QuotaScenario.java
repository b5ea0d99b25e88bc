package org.whinhead.serving.quota;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import java.util.function.LongToDoubleFunction;
import org.whinhead.serving.configuration.CustomerAccount;
import org.whinhead.serving.configuration.TokenAllowance;

/** A day of one customer's requests at a fleet, and what it was given. */
final class QuotaScenario {

    static final String CUSTOMER = "clinic";
    static final double USUAL_FRACTION = 1 / 1.8;
    static final int PLAIN_TOKENS = 200;

    private static final int MAX_REFUND_DELAY_MILLIS = 1_000;
    private static final int STEP_MILLIS = 10;
    private static final int MEAN_REQUEST_TOKENS = 4_000;
    private static final int LARGE_REQUEST_TOKENS = 6_800;
    private static final int WINDOW_MILLIS = (int) SimulatedFleet.TOLERANCE.window().toMillis();

    private final SimulatedFleet mFleet;
    private final long mRate;
    private final List<Long> mAdmittedAt = new ArrayList<>();
    private final List<Long> mAdmittedTokens = new ArrayList<>();
    private LongToDoubleFunction mDemandFactor = millis -> 1;
    private double mFirstDaemonFraction;
    private double mRefundFraction;
    private long mCountedUntil = Long.MAX_VALUE;
    private long mCountedOffered;
    private long mCountedAdmitted;
    private int mOfferedLarge;
    private int mAdmittedLarge;
    private int mOfferedRequests;
    private int mAdmittedRequests;

    QuotaScenario(final int daemons, final long rate, final long seed) {
        mRate = rate;
        mFleet = new SimulatedFleet(daemons, customers(rate), seed);
    }

    static List<CustomerAccount> customers(final long rate) {
        return List.of(
                new CustomerAccount(
                        CUSTOMER,
                        List.of("key"),
                        OptionalInt.empty(),
                        new TokenAllowance(rate, rate, PLAIN_TOKENS)));
    }

    SimulatedFleet fleet() {
        return mFleet;
    }

    /** Sets how many times its usual the customer asks. */
    QuotaScenario demand(final LongToDoubleFunction usualTimes) {
        mDemandFactor = usualTimes;
        return this;
    }

    /** Sends a part of all requests to a single daemon, besides its share of the rest. */
    QuotaScenario concentrate(final double part) {
        mFirstDaemonFraction = part;
        return this;
    }

    /** Gives the tokens of a part of all requests back: they did not run. */
    QuotaScenario refundFraction(final double part) {
        mRefundFraction = part;
        return this;
    }

    /** Counts what is refused up to a time only. */
    QuotaScenario countUntil(final long millis) {
        mCountedUntil = millis;
        return this;
    }

    QuotaScenario run(final long fromMillis, final long toMillis) {
        final Random random = mFleet.random();
        for (long millis = fromMillis; millis < toMillis; millis += STEP_MILLIS) {
            mFleet.runUntil(millis);
            double left =
                    mRate
                            * USUAL_FRACTION
                            * mDemandFactor.applyAsDouble(millis)
                            * STEP_MILLIS
                            / 1_000;
            while (random.nextDouble() < left / MEAN_REQUEST_TOKENS) {
                left -= MEAN_REQUEST_TOKENS;
                request(500 + random.nextInt(2 * MEAN_REQUEST_TOKENS - 1_000));
            }
        }
        mFleet.runUntil(toMillis + 1_000);
        return this;
    }

    private void request(final long tokens) {
        final Random random = mFleet.random();
        final int index =
                random.nextDouble() < mFirstDaemonFraction ? 0 : random.nextInt(mFleet.size());
        if (!mFleet.isUp(index)) {
            return;
        }
        final boolean counted = mFleet.millis() < mCountedUntil;
        final boolean large = tokens >= LARGE_REQUEST_TOKENS;
        mCountedOffered += counted ? tokens : 0;
        mOfferedRequests++;
        mOfferedLarge += large ? 1 : 0;
        mFleet.claim(
                index,
                CUSTOMER,
                tokens,
                new TokenClaimListener() {
                    @Override
                    public void granted(final TokenGrant spend) {
                        if (mRefundFraction > 0 && random.nextDouble() < mRefundFraction) {
                            mFleet.at(
                                    mFleet.millis() + random.nextInt(MAX_REFUND_DELAY_MILLIS),
                                    () -> mFleet.refund(index, spend));
                            return;
                        }
                        mAdmittedRequests++;
                        mAdmittedLarge += large ? 1 : 0;
                        mAdmittedAt.add(mFleet.millis());
                        mAdmittedTokens.add(tokens);
                        mCountedAdmitted += counted ? tokens : 0;
                    }

                    @Override
                    public void overAllowance(final Duration comeBackAfter) {
                        // Not admitted.
                    }

                    @Override
                    public void unavailable(final Duration comeBackAfter) {
                        // Not admitted.
                    }
                });
    }

    /** The part of the offered tokens that was admitted. */
    double admittedFraction() {
        return (double) mCountedAdmitted / mCountedOffered;
    }

    /** How often large requests were admitted, as a part of how often all were. */
    double largeRequestRatio() {
        final double all = (double) mAdmittedRequests / mOfferedRequests;
        return (double) mAdmittedLarge / mOfferedLarge / all;
    }

    /** The most that was admitted in any window, as a part of what is accepted. */
    double worstWindowFraction() {
        long sum = 0;
        long worst = 0;
        int first = 0;
        for (int index = 0; index < mAdmittedAt.size(); index++) {
            sum += mAdmittedTokens.get(index);
            while (mAdmittedAt.get(index) - mAdmittedAt.get(first) > WINDOW_MILLIS) {
                sum -= mAdmittedTokens.get(first);
                first++;
            }
            worst = Math.max(worst, sum);
        }
        return worst
                / ShareLimits.acceptedTokens(
                        new TokenAllowance(mRate, mRate, PLAIN_TOKENS), SimulatedFleet.TOLERANCE);
    }
}
