package org.whinhead.serving.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.configuration.CustomerAccount;
import org.whinhead.serving.configuration.TokenAllowance;

class CustomerQuotasTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final InetSocketAddress SELF = InetSocketAddress.createUnresolved("self", 7600);
    private static final InetSocketAddress OTHER =
            InetSocketAddress.createUnresolved("other", 7600);
    private static final long RATE = 50_000;
    private static final long REQUEST = 2_000;
    private static final long LIGHT = 200;

    private final List<TokenAsk> mAsks = new ArrayList<>();
    private final List<TokenAsk> mReturns = new ArrayList<>();
    private final List<TokenSpend> mGranted = new ArrayList<>();
    private final List<Duration> mOver = new ArrayList<>();
    private final List<Duration> mUnknown = new ArrayList<>();
    private final HeldShares mHeld = new HeldShares(SELF, QuotaFleet.TOLERANCE, at(0));
    private final CustomerQuotas mQuotas =
            new CustomerQuotas("d-1", mHeld, new RecordingTransport(), new Random(1));

    private final class RecordingTransport implements QuotaTransport {
        @Override
        public void ask(final InetSocketAddress holder, final TokenAsk ask) {
            assertThat(holder).isEqualTo(OTHER);
            mAsks.add(ask);
        }

        @Override
        public void giveBack(final InetSocketAddress holder, final TokenAsk ask) {
            mReturns.add(ask);
        }

        @Override
        public void checkAfter(final Duration delay) {
            // The tests look for answers themselves.
        }
    }

    private final class RecordingListener implements TokenClaimListener {
        @Override
        public void granted(final TokenSpend spend) {
            mGranted.add(spend);
        }

        @Override
        public void overAllowance(final Duration comeBackAfter) {
            mOver.add(comeBackAfter);
        }

        @Override
        public void unknown(final Duration comeBackAfter) {
            mUnknown.add(comeBackAfter);
        }
    }

    private static Moment at(final long millis) {
        return new Moment(START.plusMillis(millis), START.plusMillis(millis));
    }

    private static List<CustomerAccount> customers(final long rate) {
        return List.of(
                new CustomerAccount(
                        "clinic",
                        List.of("key"),
                        OptionalInt.empty(),
                        new TokenAllowance(rate, rate, LIGHT)));
    }

    private void heldBy(final InetSocketAddress holder) {
        mQuotas.configure(customers(RATE), at(0));
        mHeld.tableRead(ShareTable.first(List.of(holder)), at(0));
    }

    private Runnable claim(final long tokens, final long millis) {
        return mQuotas.claim("clinic", tokens, at(millis), new RecordingListener());
    }

    private void answer(
            final TokenAsk ask,
            final TokenAnswer.Outcome outcome,
            final long level,
            final long millis) {
        mQuotas.answered(
                new TokenAnswer(ask.id(), ask.customer(), ask.slot(), outcome, level), at(millis));
    }

    @Test
    void nothingBelowTheAllowanceIsRefused() {
        heldBy(SELF);
        for (int request = 0; request < 500; request++) {
            claim(REQUEST, 10_000 + request * 41L);
        }
        assertThat(mGranted).hasSize(500);
        assertThat(mAsks).isEmpty();
    }

    // A customer floods the service with prompts, some hundred times its allowance. Its plain calls
    // cost next to nothing, yet they were refused like the prompts: the shares were always empty.
    @Test
    void plainCallsOfCustomerOverItsAllowanceAreAdmitted() {
        heldBy(SELF);
        int lightGranted = 0;
        for (int step = 0; step < 1_000; step++) {
            final long millis = 10_000 + step * 10L;
            for (int prompt = 0; prompt < 5; prompt++) {
                claim(REQUEST, millis);
            }
            if (step % 20 == 0) {
                final int before = mGranted.size();
                claim(LIGHT, millis);
                lightGranted += mGranted.size() - before;
            }
        }
        assertThat(lightGranted).isEqualTo(50);
        assertThat(mOver.size()).isGreaterThan(4_000);
    }

    @Test
    void refusalSaysWhenToComeBack() {
        heldBy(SELF);
        while (mOver.isEmpty()) {
            claim(REQUEST, 10_000);
        }
        assertThat(mOver.get(0)).isBetween(Duration.ofMillis(20), Duration.ofSeconds(1));
    }

    @Test
    void customerWithoutLimitIsAdmittedWithoutTable() {
        mQuotas.configure(customers(0), at(0));
        claim(REQUEST, 1);
        assertThat(mGranted).hasSize(1);
        assertThat(mQuotas.isReady()).isTrue();
    }

    @Test
    void nothingIsAdmittedWithoutTable() {
        mQuotas.configure(customers(RATE), at(0));
        claim(REQUEST, 1);
        assertThat(mQuotas.isReady()).isFalse();
        assertThat(mUnknown).hasSize(1);
    }

    @Test
    void requestIsAdmittedOnceTheHolderHasIssued() {
        heldBy(OTHER);
        claim(REQUEST, 10_000);
        assertThat(mGranted).isEmpty();
        answer(mAsks.get(0), TokenAnswer.Outcome.ISSUED, 5_000, 10_002);
        assertThat(mGranted).hasSize(1);
        answer(mAsks.get(0), TokenAnswer.Outcome.ISSUED, 5_000, 10_003);
        assertThat(mGranted).hasSize(1);
    }

    @Test
    void shareThatHasTooFewIsReplacedByAnother() {
        heldBy(OTHER);
        claim(REQUEST, 10_000);
        answer(mAsks.get(0), TokenAnswer.Outcome.TOO_FEW, -100, 10_002);
        assertThat(mAsks).hasSize(2);
        assertThat(mAsks.get(1).slot()).isNotEqualTo(mAsks.get(0).slot());
    }

    // Once all shares have said that they are empty, the next request is refused at once: asking
    // again would keep its caller waiting for nothing.
    @Test
    void requestThatCannotBeMetIsRefusedWithoutAsking() {
        heldBy(OTHER);
        claim(REQUEST, 10_000);
        for (int share = 0; share < ShareLimits.SHARES; share++) {
            answer(mAsks.get(share), TokenAnswer.Outcome.TOO_FEW, -10_000, 10_001);
        }
        assertThat(mOver).hasSize(1);
        claim(REQUEST, 10_002);
        assertThat(mOver).hasSize(2);
        assertThat(mAsks).hasSize(ShareLimits.SHARES);
    }

    // A holder is dead. The caller must not wait for it until its time is up, and the tokens of an
    // answer that comes after all are not lost.
    @Test
    void holderThatDoesNotAnswerIsReplaced() {
        heldBy(OTHER);
        claim(REQUEST, 10_000);
        mQuotas.checkAnswers(at(10_080));
        assertThat(mAsks).hasSize(2);
        answer(mAsks.get(1), TokenAnswer.Outcome.ISSUED, 5_000, 10_082);
        assertThat(mGranted).hasSize(1);
        answer(mAsks.get(0), TokenAnswer.Outcome.ISSUED, 5_000, 10_090);
        claim(REQUEST, 10_091);
        assertThat(mGranted).hasSize(2);
        assertThat(mAsks).hasSize(2);
    }

    @Test
    void callerIsRefusedWhenNobodyAnswers() {
        heldBy(OTHER);
        claim(REQUEST, 10_000);
        for (int millis = 80; millis <= 1_040; millis += 80) {
            mQuotas.checkAnswers(at(10_000 + millis));
        }
        assertThat(mUnknown).hasSize(1);
    }

    // The VM is suspended between a holder's answer and the request's sending. Seconds later its
    // tokens belong to another window, in which the holder has issued as many again.
    @Test
    void tokensOfAnswerThatWaitedWhileSuspendedAreNotSpent() {
        heldBy(OTHER);
        claim(REQUEST, 10_000);
        final Moment woken = new Moment(START.plusMillis(10_010), START.plusMillis(15_010));
        mQuotas.answered(
                new TokenAnswer(
                        mAsks.get(0).id(),
                        "clinic",
                        mAsks.get(0).slot(),
                        TokenAnswer.Outcome.ISSUED,
                        5_000),
                woken);
        assertThat(mGranted).isEmpty();
        assertThat(mUnknown.size() + mOver.size()).isEqualTo(1);
    }

    // An operator takes a customer out, or lifts its limit, while one of its requests waits for
    // tokens. The request would never be answered.
    @Test
    void claimOfCustomerThatIsTakenOutIsRefused() {
        heldBy(OTHER);
        claim(REQUEST, 10_000);
        mQuotas.configure(List.of(), at(10_001));
        answer(mAsks.get(0), TokenAnswer.Outcome.TOO_FEW, 0, 10_002);
        assertThat(mUnknown).hasSize(1);
    }

    @Test
    void claimOfCustomerWhoseLimitIsLiftedIsGranted() {
        heldBy(OTHER);
        claim(REQUEST, 10_000);
        mQuotas.configure(customers(0), at(10_001));
        mQuotas.checkAnswers(at(10_080));
        assertThat(mGranted).hasSize(1);
    }

    @Test
    void callerThatLeavesGivesItsTokensBack() {
        heldBy(OTHER);
        final Runnable cancel = claim(100_000, 10_000);
        answer(mAsks.get(0), TokenAnswer.Outcome.ISSUED, 5_000, 10_001);
        cancel.run();
        assertThat(mReturns).containsExactly(mAsks.get(0));
        assertThat(mGranted).isEmpty();
        assertThat(mOver).isEmpty();
    }

    @Test
    void refundIsSpentAgain() {
        heldBy(OTHER);
        claim(REQUEST, 10_000);
        answer(mAsks.get(0), TokenAnswer.Outcome.ISSUED, 5_000, 10_002);
        mQuotas.refund(mGranted.get(0));
        claim(REQUEST, 10_100);
        assertThat(mGranted).hasSize(2);
        assertThat(mAsks).hasSize(1);
    }

    @Test
    void refundThatComesLateIsNotSpent() {
        heldBy(OTHER);
        claim(REQUEST, 10_000);
        answer(mAsks.get(0), TokenAnswer.Outcome.ISSUED, 5_000, 10_002);
        mQuotas.refund(mGranted.get(0));
        claim(REQUEST, 10_600);
        assertThat(mAsks).hasSize(2);
    }
}
