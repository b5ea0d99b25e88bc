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
final class QuotaDay {

    static final String CUSTOMER = "clinic";
    static final double USUAL_PART = 1 / 1.8;
    static final int PLAIN_TOKENS = 200;

    private static final int MOST_GIVEN_BACK_AFTER = 1_000;
    private static final int STEP_MILLIS = 10;
    private static final int REQUEST_TOKENS = 4_000;
    private static final int LARGE_TOKENS = 6_800;
    private static final int WINDOW_MILLIS = (int) QuotaFleet.TOLERANCE.window().toMillis();

    private final QuotaFleet mFleet;
    private final long mRate;
    private final List<Long> mAdmittedAt = new ArrayList<>();
    private final List<Long> mAdmittedTokens = new ArrayList<>();
    private LongToDoubleFunction mUsualTimes = millis -> 1;
    private double mNearPart;
    private double mGivenBackPart;
    private long mCountedUntil = Long.MAX_VALUE;
    private long mOffered;
    private long mAdmitted;
    private int mOfferedLarge;
    private int mAdmittedLarge;
    private int mOfferedRequests;
    private int mAdmittedRequests;

    QuotaDay(final int daemons, final long rate, final long seed) {
        mRate = rate;
        mFleet = new QuotaFleet(daemons, customers(rate), seed);
    }

    static List<CustomerAccount> customers(final long rate) {
        return List.of(
                new CustomerAccount(
                        CUSTOMER,
                        List.of("key"),
                        OptionalInt.empty(),
                        new TokenAllowance(rate, rate, PLAIN_TOKENS)));
    }

    QuotaFleet fleet() {
        return mFleet;
    }

    /** Sets how many times its usual the customer asks. */
    QuotaDay asks(final LongToDoubleFunction usualTimes) {
        mUsualTimes = usualTimes;
        return this;
    }

    /** Sends a part of all requests to a single daemon, besides its share of the rest. */
    QuotaDay toOneDaemon(final double part) {
        mNearPart = part;
        return this;
    }

    /** Gives the tokens of a part of all requests back: they did not run. */
    QuotaDay givesBack(final double part) {
        mGivenBackPart = part;
        return this;
    }

    /** Counts what is refused up to a time only. */
    QuotaDay countsUntil(final long millis) {
        mCountedUntil = millis;
        return this;
    }

    QuotaDay play(final long fromMillis, final long toMillis) {
        final Random random = mFleet.random();
        for (long millis = fromMillis; millis < toMillis; millis += STEP_MILLIS) {
            mFleet.runTo(millis);
            double left =
                    mRate * USUAL_PART * mUsualTimes.applyAsDouble(millis) * STEP_MILLIS / 1_000;
            while (random.nextDouble() < left / REQUEST_TOKENS) {
                left -= REQUEST_TOKENS;
                request(500 + random.nextInt(2 * REQUEST_TOKENS - 1_000));
            }
        }
        mFleet.runTo(toMillis + 1_000);
        return this;
    }

    private void request(final long tokens) {
        final Random random = mFleet.random();
        final int index = random.nextDouble() < mNearPart ? 0 : random.nextInt(mFleet.size());
        if (!mFleet.isUp(index)) {
            return;
        }
        final boolean counted = mFleet.millis() < mCountedUntil;
        final boolean large = tokens >= LARGE_TOKENS;
        mOffered += counted ? tokens : 0;
        mOfferedRequests++;
        mOfferedLarge += large ? 1 : 0;
        mFleet.claim(
                index,
                CUSTOMER,
                tokens,
                new TokenClaimListener() {
                    @Override
                    public void granted(final TokenSpend spend) {
                        if (mGivenBackPart > 0 && random.nextDouble() < mGivenBackPart) {
                            mFleet.at(
                                    mFleet.millis() + random.nextInt(MOST_GIVEN_BACK_AFTER),
                                    () -> mFleet.refund(index, spend));
                            return;
                        }
                        mAdmittedRequests++;
                        mAdmittedLarge += large ? 1 : 0;
                        mAdmittedAt.add(mFleet.millis());
                        mAdmittedTokens.add(tokens);
                        mAdmitted += counted ? tokens : 0;
                    }

                    @Override
                    public void overAllowance(final Duration comeBackAfter) {
                        // Not admitted.
                    }

                    @Override
                    public void unknown(final Duration comeBackAfter) {
                        // Not admitted.
                    }
                });
    }

    /** The part of the offered tokens that was admitted. */
    double admittedPart() {
        return (double) mAdmitted / mOffered;
    }

    /** How often large requests were admitted, as a part of how often all were. */
    double largeAgainstAll() {
        final double all = (double) mAdmittedRequests / mOfferedRequests;
        return (double) mAdmittedLarge / mOfferedLarge / all;
    }

    /** The most that was admitted in any window, as a part of what is accepted. */
    double worstWindow() {
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
                / ShareLimits.accepted(
                        new TokenAllowance(mRate, mRate, PLAIN_TOKENS), QuotaFleet.TOLERANCE);
    }
}
