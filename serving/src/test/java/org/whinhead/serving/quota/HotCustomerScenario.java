package org.whinhead.serving.quota;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import org.whinhead.serving.configuration.CustomerAccount;
import org.whinhead.serving.configuration.TokenAllowance;

/**
 * Simulates a customer that sends many times its usual load for some seconds after calm, beside one
 * whose load stays usual, and counts the refusals of requests within the allowance.
 *
 * <p>A request is within the allowance if the tokens that its customer has sent in the window that
 * ends with it, refused ones included, are at most the rate times the window and the burst.
 */
final class HotCustomerScenario {

    static final String HOT = "clinic";
    static final String CALM = "archive";
    static final int CALM_AT = 10_000;
    static final int HOT_AT = 20_000;

    private static final int HOT_MILLIS = 6_500;
    private static final int END = 36_000;
    private static final int WINDOW_MILLIS = (int) SimulatedFleet.TOLERANCE.window().toMillis();
    private static final double MILLIS_PER_SECOND = 1_000;

    private final SimulatedFleet mFleet;
    private final Sender mHot;
    private final Sender mCalm;
    private final double mUsualFraction;
    private final double mHotFactor;
    private double mLargeFactor = 1;

    /**
     * Creates a scenario.
     *
     * @param daemons the number of daemons
     * @param rate the rate and the burst of both customers, in tokens
     * @param usualFraction the usual load as a fraction of the rate
     * @param hotFactor the load of the hot customer as a multiple of its usual one
     * @param seed the seed of all random choices
     */
    HotCustomerScenario(
            final int daemons,
            final long rate,
            final double usualFraction,
            final double hotFactor,
            final long seed) {
        mFleet =
                new SimulatedFleet(daemons, List.of(account(HOT, rate), account(CALM, rate)), seed);
        mHot = new Sender(HOT, rate);
        mCalm = new Sender(CALM, rate);
        mUsualFraction = usualFraction;
        mHotFactor = hotFactor;
    }

    private static CustomerAccount account(final String name, final long rate) {
        return new CustomerAccount(
                name,
                List.of("key of " + name),
                OptionalInt.empty(),
                new TokenAllowance(rate, rate, QuotaScenario.PLAIN_TOKENS));
    }

    SimulatedFleet fleet() {
        return mFleet;
    }

    /** Sends more of the largest kind of requests while the customer is hot. */
    HotCustomerScenario largeFactor(final double factor) {
        mLargeFactor = factor;
        return this;
    }

    HotCustomerScenario run() {
        for (int millis = CALM_AT; millis < END; millis++) {
            mFleet.runUntil(millis);
            final boolean hot = millis >= HOT_AT && millis < HOT_AT + HOT_MILLIS;
            mHot.send(mUsualFraction * (hot ? mHotFactor : 1), hot ? mLargeFactor : 1);
            mCalm.send(mUsualFraction, 1);
        }
        mFleet.runUntil(END + 2_000);
        return this;
    }

    Sender hot() {
        return mHot;
    }

    Sender calm() {
        return mCalm;
    }

    /** A kind of requests, with its weight among the requests and its results. */
    static final class Kind {
        private final int mTokens;
        private final double mWeight;
        private int mWithin;
        private int mWithinRefused;
        private int mOffered;
        private int mAdmitted;

        private Kind(final int tokens, final double weight) {
            mTokens = tokens;
            mWeight = weight;
        }

        /** Returns the requests within the allowance. */
        int within() {
            return mWithin;
        }

        /** Returns the refused requests within the allowance. */
        int withinRefused() {
            return mWithinRefused;
        }

        /** Returns the admitted fraction of all requests. */
        double admittedFraction() {
            return (double) mAdmitted / mOffered;
        }
    }

    /** The tokens of one customer's requests in the sliding window. */
    private static final class Window {
        private final Deque<long[]> mEntries = new ArrayDeque<>();
        private long mSum;
        private long mWorst;

        private long add(final long millis, final long tokens) {
            mEntries.addLast(new long[] {millis, tokens});
            mSum += tokens;
            while (mEntries.peekFirst()[0] < millis - WINDOW_MILLIS) {
                mSum -= mEntries.removeFirst()[1];
            }
            mWorst = Math.max(mWorst, mSum);
            return mSum;
        }
    }

    /** One customer's requests and their results. */
    final class Sender {
        private final String mCustomer;
        private final TokenAllowance mAllowance;
        private final List<Kind> mKinds =
                List.of(new Kind(9_190, 130), new Kind(2_368, 160), new Kind(715, 160));
        private final Window mSent = new Window();
        private final Window mAdmitted = new Window();
        private final List<Duration> mRetryDelays = new ArrayList<>();
        private double mIdealLevel;
        private int mIdealWithinRefused;
        private int mUnavailable;

        private Sender(final String customer, final long rate) {
            mCustomer = customer;
            mAllowance = new TokenAllowance(rate, rate, QuotaScenario.PLAIN_TOKENS);
            mIdealLevel = rate;
        }

        private void send(final double rateFraction, final double largeFactor) {
            final double rate = mAllowance.tokensPerSecond() / MILLIS_PER_SECOND;
            mIdealLevel = Math.min(mIdealLevel + rate, mAllowance.burstTokens());
            double weight = 0;
            double tokens = 0;
            for (final Kind kind : mKinds) {
                weight += kind.mWeight;
                tokens += kind.mWeight * kind.mTokens;
            }
            double expected = rateFraction * rate * weight / tokens;
            for (final Kind kind : mKinds) {
                final double factor = kind == mKinds.get(0) ? largeFactor : 1;
                sendKind(kind, expected * factor * kind.mWeight / weight);
            }
        }

        private void sendKind(final Kind kind, final double expected) {
            final Random random = mFleet.random();
            double passed = -Math.log(1 - random.nextDouble());
            while (passed < expected) {
                sendRequest(kind);
                passed -= Math.log(1 - random.nextDouble());
            }
        }

        private void sendRequest(final Kind kind) {
            final int index = mFleet.random().nextInt(mFleet.size());
            if (!mFleet.isUp(index)) {
                return;
            }
            final long allowed =
                    mAllowance.tokensPerSecond() * WINDOW_MILLIS / 1_000 + mAllowance.burstTokens();
            final boolean within = mSent.add(mFleet.millis(), kind.mTokens) <= allowed;
            kind.mOffered++;
            kind.mWithin += within ? 1 : 0;
            if (mIdealLevel >= kind.mTokens) {
                mIdealLevel -= kind.mTokens;
            } else {
                mIdealWithinRefused += within ? 1 : 0;
            }
            mFleet.claim(index, mCustomer, kind.mTokens, listener(kind, within));
        }

        private TokenClaimListener listener(final Kind kind, final boolean within) {
            return new TokenClaimListener() {
                @Override
                public void granted(final TokenGrant grant) {
                    kind.mAdmitted++;
                    mAdmitted.add(mFleet.millis(), kind.mTokens);
                }

                @Override
                public void overAllowance(final Duration retryAfter) {
                    kind.mWithinRefused += within ? 1 : 0;
                    mRetryDelays.add(retryAfter);
                }

                @Override
                public void unavailable(final Duration retryAfter) {
                    kind.mWithinRefused += within ? 1 : 0;
                    mUnavailable++;
                }
            };
        }

        /** Returns the kinds, the largest requests first. */
        List<Kind> kinds() {
            return mKinds;
        }

        /** Returns the refused fraction of the requests within the allowance. */
        double withinRefusedFraction() {
            return (double) mKinds.stream().mapToInt(Kind::withinRefused).sum() / within();
        }

        /** Returns the same for one bucket with the rate and the burst over all daemons. */
        double withinRefusedByIdealBucket() {
            return (double) mIdealWithinRefused / within();
        }

        int within() {
            return mKinds.stream().mapToInt(Kind::within).sum();
        }

        int unavailable() {
            return mUnavailable;
        }

        List<Duration> retryDelays() {
            return mRetryDelays;
        }

        /** Returns the most tokens admitted in any window, as a fraction of the accepted ones. */
        double worstWindowFraction() {
            return mAdmitted.mWorst
                    / ShareLimits.acceptedTokens(mAllowance, SimulatedFleet.TOLERANCE);
        }
    }
}
