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
    private static final long GAIN = 7_000;

    private final List<TokenRequest> mRequests = new ArrayList<>();
    private final List<TokenRequest> mReturns = new ArrayList<>();
    private final List<TokenGrant> mGranted = new ArrayList<>();
    private final List<Duration> mOverAllowance = new ArrayList<>();
    private final List<Duration> mUnavailable = new ArrayList<>();
    private final HeldShares mHeldShares = new HeldShares(SELF, SimulatedFleet.TOLERANCE, at(0));
    private final CustomerQuotas mQuotas =
            new CustomerQuotas("d-1", mHeldShares, new RecordingTransport(), new Random(1));

    private final class RecordingTransport implements QuotaTransport {
        @Override
        public void sendRequest(final InetSocketAddress holder, final TokenRequest request) {
            assertThat(holder).isEqualTo(OTHER);
            mRequests.add(request);
        }

        @Override
        public void sendReturn(final InetSocketAddress holder, final TokenRequest request) {
            mReturns.add(request);
        }

        @Override
        public void scheduleTimeoutCheck(final Duration delay) {
            // The tests check for timeouts themselves.
        }
    }

    private final class RecordingListener implements TokenClaimListener {
        @Override
        public void granted(final TokenGrant grant) {
            mGranted.add(grant);
        }

        @Override
        public void overAllowance(final Duration retryAfter) {
            mOverAllowance.add(retryAfter);
        }

        @Override
        public void unavailable(final Duration retryAfter) {
            mUnavailable.add(retryAfter);
        }
    }

    private static ClockReading at(final long millis) {
        return new ClockReading(START.plusMillis(millis), START.plusMillis(millis));
    }

    private static List<CustomerAccount> customers(final long rate) {
        return List.of(
                new CustomerAccount(
                        "clinic",
                        List.of("key"),
                        OptionalInt.empty(),
                        new TokenAllowance(rate, rate, LIGHT)));
    }

    private void setHolder(final InetSocketAddress holder) {
        mQuotas.configure(customers(RATE), at(0));
        mHeldShares.updateTable(ShareTable.initial(List.of(holder)), at(0));
    }

    private Runnable claim(final long tokens, final long millis) {
        return mQuotas.claim("clinic", tokens, at(millis), new RecordingListener());
    }

    private void respond(
            final TokenRequest request,
            final TokenResponse.Outcome outcome,
            final long level,
            final long millis) {
        mQuotas.handleResponse(
                new TokenResponse(
                        request.id(), request.customer(), request.slot(), outcome, level, GAIN),
                at(millis));
    }

    @Test
    void requestsWithinAllowanceAreAdmitted() {
        setHolder(SELF);
        for (int request = 0; request < 500; request++) {
            claim(REQUEST, 10_000 + request * 41L);
        }
        assertThat(mGranted).hasSize(500);
        assertThat(mRequests).isEmpty();
    }

    // A customer sends prompts of some hundred times its allowance. Its plain calls cost little,
    // yet they were rejected like the prompts, because the shares were always empty.
    @Test
    void lightRequestsOfCustomerOverItsAllowanceAreAdmitted() {
        setHolder(SELF);
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
        assertThat(mOverAllowance.size()).isGreaterThan(4_000);
    }

    @Test
    void rejectionIncludesRetryDelay() {
        setHolder(SELF);
        while (mOverAllowance.isEmpty()) {
            claim(REQUEST, 10_000);
        }
        assertThat(mOverAllowance.get(0)).isBetween(Duration.ofMillis(20), Duration.ofSeconds(1));
    }

    // An operator sees refusals of a customer and cannot tell whether its shares were empty or
    // their
    // levels were reported long ago.
    @Test
    void knownLevelsNameTokensAndAge() {
        setHolder(OTHER);
        assertThat(mQuotas.knownLevels("clinic", at(9_999))).isEmpty();
        claim(REQUEST, 10_000);
        respond(mRequests.get(0), TokenResponse.Outcome.ISSUED, 5_000, 10_002);
        final int slot = mRequests.get(0).slot();
        assertThat(mQuotas.knownLevels("clinic", at(10_042)))
                .containsExactly(new KnownLevel(slot, 5_000, Duration.ofMillis(40)))
                .hasToString("[" + slot + ":5000@40ms]");
        assertThat(mQuotas.knownLevels("nobody", at(10_042))).isEmpty();
    }

    @Test
    void knownLevelsOfOwnSharesAreExact() {
        setHolder(SELF);
        assertThat(mQuotas.knownLevels("clinic", at(10_000)))
                .hasSize(ShareLimits.SHARES)
                .allMatch(level -> level.age().isZero() && level.tokens() > REQUEST);
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
        assertThat(mUnavailable).hasSize(1);
    }

    @Test
    void requestIsAdmittedOnceHolderHasIssuedTokens() {
        setHolder(OTHER);
        claim(REQUEST, 10_000);
        assertThat(mGranted).isEmpty();
        respond(mRequests.get(0), TokenResponse.Outcome.ISSUED, 5_000, 10_002);
        assertThat(mGranted).hasSize(1);
        respond(mRequests.get(0), TokenResponse.Outcome.ISSUED, 5_000, 10_003);
        assertThat(mGranted).hasSize(1);
    }

    @Test
    void claimGoesToAnotherShareIfOneHasTooFewTokens() {
        setHolder(OTHER);
        claim(REQUEST, 10_000);
        respond(mRequests.get(0), TokenResponse.Outcome.TOO_FEW, -100, 10_002);
        assertThat(mRequests).hasSize(2);
        assertThat(mRequests.get(1).slot()).isNotEqualTo(mRequests.get(0).slot());
    }

    /**
     * Guards against rejections of a customer within its allowance whose tokens are spread over all
     * shares, so that none can meet a claim alone.
     */
    @Test
    void claimThatNoShareCanMeetIsSplitOverAll() {
        setHolder(OTHER);
        claim(REQUEST, 10_000);
        for (int share = 0; share < ShareLimits.SHARES; share++) {
            respond(mRequests.get(share), TokenResponse.Outcome.TOO_FEW, 700, 10_001);
        }
        final List<TokenRequest> parts =
                List.copyOf(mRequests.subList(ShareLimits.SHARES, mRequests.size()));
        assertThat(parts).hasSize(ShareLimits.SHARES);
        assertThat(parts.stream().mapToLong(TokenRequest::tokens).sum()).isEqualTo(REQUEST);

        parts.forEach(part -> respond(part, TokenResponse.Outcome.ISSUED, 300, 10_002));

        assertThat(mGranted).hasSize(1);
        assertThat(mReturns).containsExactlyElementsOf(mRequests.subList(0, ShareLimits.SHARES));
    }

    // Once all holders have reported empty shares, the next claim is rejected at once: requesting
    // tokens again would only delay the rejection.
    @Test
    void claimIsRejectedWithoutRequestIfAllSharesAreEmpty() {
        setHolder(OTHER);
        claim(REQUEST, 10_000);
        for (int share = 0; share < ShareLimits.SHARES; share++) {
            respond(mRequests.get(share), TokenResponse.Outcome.TOO_FEW, -10_000, 10_001);
        }
        assertThat(mOverAllowance).hasSize(1);
        claim(REQUEST, 10_002);
        assertThat(mOverAllowance).hasSize(2);
        assertThat(mRequests).hasSize(ShareLimits.SHARES);
    }

    // A holder does not respond. The caller must not wait for it until its own timeout, and the
    // tokens of a late response are not lost.
    @Test
    void claimGoesToAnotherHolderAfterTimeout() {
        setHolder(OTHER);
        claim(REQUEST, 10_000);
        mQuotas.checkTimeouts(at(10_080));
        assertThat(mRequests).hasSize(2);
        respond(mRequests.get(1), TokenResponse.Outcome.ISSUED, 5_000, 10_082);
        assertThat(mGranted).hasSize(1);
        respond(mRequests.get(0), TokenResponse.Outcome.ISSUED, 5_000, 10_090);
        claim(REQUEST, 10_091);
        assertThat(mGranted).hasSize(2);
        assertThat(mRequests).hasSize(2);
    }

    @Test
    void claimIsUnavailableIfNoHolderResponds() {
        setHolder(OTHER);
        claim(REQUEST, 10_000);
        for (int millis = 80; millis <= 1_040; millis += 80) {
            mQuotas.checkTimeouts(at(10_000 + millis));
        }
        assertThat(mUnavailable).hasSize(1);
    }

    // The VM is suspended between a holder's response and its handling. Seconds later the tokens
    // would count in another window, in which the holder has issued as many again.
    @Test
    void tokensReceivedAfterSuspensionAreNotSpent() {
        setHolder(OTHER);
        claim(REQUEST, 10_000);
        final ClockReading resumed =
                new ClockReading(START.plusMillis(10_010), START.plusMillis(15_010));
        mQuotas.handleResponse(
                new TokenResponse(
                        mRequests.get(0).id(),
                        "clinic",
                        mRequests.get(0).slot(),
                        TokenResponse.Outcome.ISSUED,
                        5_000,
                        GAIN),
                resumed);
        assertThat(mGranted).isEmpty();
        assertThat(mUnavailable.size() + mOverAllowance.size()).isEqualTo(1);
    }

    // An operator removes a customer, or lifts its limit, while one of its requests waits for
    // tokens. The request must not remain without an outcome.
    @Test
    void claimOfRemovedCustomerIsRejected() {
        setHolder(OTHER);
        claim(REQUEST, 10_000);
        mQuotas.configure(List.of(), at(10_001));
        respond(mRequests.get(0), TokenResponse.Outcome.TOO_FEW, 0, 10_002);
        assertThat(mUnavailable).hasSize(1);
    }

    @Test
    void claimOfCustomerWhoseLimitIsLiftedIsGranted() {
        setHolder(OTHER);
        claim(REQUEST, 10_000);
        mQuotas.configure(customers(0), at(10_001));
        mQuotas.checkTimeouts(at(10_080));
        assertThat(mGranted).hasSize(1);
    }

    @Test
    void canceledClaimReturnsItsTokens() {
        setHolder(OTHER);
        final Runnable cancel = claim(100_000, 10_000);
        respond(mRequests.get(0), TokenResponse.Outcome.ISSUED, 5_000, 10_001);
        cancel.run();
        assertThat(mReturns).containsExactly(mRequests.get(0));
        assertThat(mGranted).isEmpty();
        assertThat(mOverAllowance).isEmpty();
    }

    @Test
    void refundIsSpentAgain() {
        setHolder(OTHER);
        claim(REQUEST, 10_000);
        respond(mRequests.get(0), TokenResponse.Outcome.ISSUED, 5_000, 10_002);
        mQuotas.refund(mGranted.get(0));
        claim(REQUEST, 10_100);
        assertThat(mGranted).hasSize(2);
        assertThat(mRequests).hasSize(1);
    }

    @Test
    void expiredRefundIsNotSpent() {
        setHolder(OTHER);
        claim(REQUEST, 10_000);
        respond(mRequests.get(0), TokenResponse.Outcome.ISSUED, 5_000, 10_002);
        mQuotas.refund(mGranted.get(0));
        claim(REQUEST, 10_600);
        assertThat(mRequests).hasSize(2);
    }
}
