package org.whinhead.serving.ratelimit;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.whinhead.serving.endpoint.EndpointEntry;

class RequestPermitsTest {

    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final Duration NOW = Duration.ZERO;
    private static final Duration WAIT = Duration.ofMillis(200);
    private static final EndpointEntry ENDPOINT =
            EndpointEntry.builder(
                            "e-1",
                            "api",
                            InetSocketAddress.createUnresolved("endpoint", 1),
                            "domain-a")
                    .build();

    private final Map<InetSocketAddress, Daemon> mDaemons = new HashMap<>();
    private final List<Runnable> mMessages = new ArrayList<>();
    private long mMillis;

    /** A daemon whose messages arrive when the test delivers them. */
    private final class Daemon implements PermitTransport {
        private final InetSocketAddress mAddress;
        private final StatedLimits mLimits = new StatedLimits();
        private final RequestPermits mPermits;
        private boolean mSilent;
        private int mReturns;

        private Daemon(final int number) {
            mAddress = InetSocketAddress.createUnresolved("10.0.0." + number, 7_600);
            mPermits =
                    new RequestPermits(
                            mAddress,
                            0,
                            mLimits,
                            id -> Optional.of(ENDPOINT).filter(entry -> entry.id().equals(id)),
                            this);
        }

        private void send(final InetSocketAddress to, final Runnable message) {
            final boolean arrives = !mSilent && !mDaemons.get(to).mSilent;
            if (arrives) {
                mMessages.add(message);
            }
        }

        @Override
        public void sendRequest(final InetSocketAddress owner, final PermitRequest request) {
            send(owner, () -> permits(owner).handleRequest(request, mAddress, now()));
        }

        @Override
        public void sendResponse(final InetSocketAddress receiver, final PermitResponse response) {
            send(receiver, () -> permits(receiver).handleResponse(response, mAddress, now()));
        }

        @Override
        public void sendReturn(final InetSocketAddress owner, final PermitRequest request) {
            mReturns++;
            send(owner, () -> permits(owner).handleReturn(request));
        }

        @Override
        public void scheduleTimeoutCheck(final Duration delay) {
            // The tests check by themselves.
            assertThat(delay).isEqualTo(RequestPermits.RESEND_INTERVAL);
        }

        private Claim claim(final Duration maxWait) {
            final Claim claim = new Claim();
            mPermits.claim("e-1", maxWait, claim, now());
            return claim;
        }
    }

    private static final class Claim implements PermitListener {
        private Optional<Duration> mGranted = Optional.empty();
        private Permit mPermit;
        private int mDenials;

        @Override
        public void granted(final Duration wait, final Permit permit) {
            assertThat(mGranted).isEmpty();
            mGranted = Optional.of(wait);
            mPermit = permit;
        }

        @Override
        public void denied() {
            mDenials++;
        }
    }

    @BeforeEach
    void createDaemons() {
        for (int number = 0; number < 3; number++) {
            final Daemon daemon = new Daemon(number);
            mDaemons.put(daemon.mAddress, daemon);
        }
        mDaemons.values().forEach(daemon -> seesAllBut(daemon, Set.of()));
        name(1);
    }

    private void seesAllBut(final Daemon daemon, final Set<InetSocketAddress> lost) {
        daemon.mPermits.setDaemons(
                mDaemons.keySet().stream()
                        .filter(other -> !other.equals(daemon.mAddress) && !lost.contains(other))
                        .collect(Collectors.toSet()),
                false,
                3,
                now());
    }

    private void name(final double limit) {
        mDaemons.values()
                .forEach(
                        daemon ->
                                daemon.mLimits.apply(
                                        ENDPOINT,
                                        new LimitStatement(
                                                "e-1",
                                                Optional.empty(),
                                                1,
                                                Optional.of(new RequestRateLimit(limit))),
                                        now()));
    }

    private Instant now() {
        return START.plusMillis(mMillis);
    }

    private RequestPermits permits(final InetSocketAddress daemon) {
        return mDaemons.get(daemon).mPermits;
    }

    private void deliver() {
        while (!mMessages.isEmpty()) {
            mMessages.remove(0).run();
        }
    }

    /** Lets an interval pass in which a daemon repeats what was not responded to. */
    private void passInterval(final Daemon daemon) {
        mMillis += RequestPermits.RESEND_INTERVAL.toMillis();
        daemon.mPermits.checkTimeouts(now());
        deliver();
    }

    private Daemon owner() {
        final LimitOwners owners = new LimitOwners(mDaemons.keySet().iterator().next());
        owners.setDaemons(mDaemons.keySet(), 3);
        return mDaemons.get(owners.owner("e-1", now()));
    }

    private List<Daemon> others() {
        final Daemon owner = owner();
        return mDaemons.values().stream().filter(daemon -> daemon != owner).toList();
    }

    /** Lets the first interval of the owner's schedule pass. */
    private void begin() {
        owner().claim(NOW);
        mMillis += 1_000;
    }

    @Test
    void endpointWithoutLimitNeedsNoPermit() {
        final Daemon daemon = new Daemon(9);
        mDaemons.put(daemon.mAddress, daemon);
        assertThat(daemon.claim(NOW).mGranted).contains(NOW);
        assertThat(daemon.mPermits.mayBeGranted("e-1", NOW, now())).isTrue();
    }

    // Guards against daemons that each hold a limit for themselves.
    @Test
    void daemonsGetOnePermitOfIntervalTogether() {
        begin();
        final Claim first = others().get(0).claim(NOW);
        deliver();
        final Claim second = others().get(1).claim(NOW);
        deliver();
        assertThat(first.mGranted).contains(NOW);
        assertThat(second.mDenials).isOne();
        assertThat(owner().claim(NOW).mDenials).isOne();
    }

    @Test
    void deniedDaemonAsksAgainOnceTimeIsFree() {
        begin();
        final Daemon daemon = others().get(0);
        daemon.claim(NOW);
        deliver();
        assertThat(daemon.mPermits.mayBeGranted("e-1", NOW, now())).isFalse();
        assertThat(daemon.mPermits.untilFree("e-1", now())).isEqualTo(Duration.ofSeconds(1));
        mMillis += 800;
        assertThat(daemon.mPermits.mayBeGranted("e-1", NOW, now())).isFalse();
        assertThat(daemon.mPermits.mayBeGranted("e-1", WAIT, now())).isTrue();
    }

    @Test
    void permitIsReservedWithinLongestWait() {
        begin();
        owner().claim(NOW);
        mMillis += 900;
        final Claim claim = others().get(0).claim(WAIT);
        deliver();
        assertThat(claim.mGranted).contains(Duration.ofMillis(100));
    }

    // Guards against a permit for each copy of a request whose response was lost.
    @Test
    void repeatedRequestGetsSamePermit() {
        begin();
        final Daemon daemon = others().get(0);
        final Claim claim = daemon.claim(NOW);
        mMessages.remove(0).run();
        mMessages.clear();
        passInterval(daemon);
        assertThat(claim.mGranted).contains(NOW);
        mMillis += 900;
        assertThat(owner().claim(NOW).mDenials).isOne();
    }

    @Test
    void permitThatIsGivenBackGoesToAnotherRequest() {
        begin();
        final Claim claim = others().get(0).claim(NOW);
        deliver();
        claim.mPermit.giveBack();
        deliver();
        assertThat(owner().claim(NOW).mGranted).contains(NOW);
    }

    // Guards against an endpoint that gets nothing for as long as other daemons take to notice that
    // the owner of its limit was killed.
    @Test
    void nextDaemonGrantsWhenOwnerDoesNotRespond() {
        owner().mSilent = true;
        final Daemon first = others().get(0);
        final Daemon second = others().get(1);
        for (int round = 0; round < 2; round++) {
            first.claim(NOW);
            second.claim(NOW);
            for (int send = 0; send <= 2 * RequestPermits.MAX_SENDS; send++) {
                passInterval(first);
                second.mPermits.checkTimeouts(now());
                deliver();
            }
        }
        mMillis += 1_500;
        final Claim claim = first.claim(NOW);
        final Claim other = second.claim(NOW);
        for (int send = 0; send <= 2 * RequestPermits.MAX_SENDS; send++) {
            passInterval(first);
            second.mPermits.checkTimeouts(now());
            deliver();
        }
        assertThat(claim.mGranted.isPresent() || other.mGranted.isPresent()).isTrue();
    }

    // Guards against callers of a daemon that is cut from the owner: no permit reaches it.
    @Test
    void daemonThatDoesNotKnowOwnerAsksThroughAnother() {
        begin();
        final Daemon daemon = others().get(0);
        seesAllBut(daemon, Set.of(owner().mAddress));
        for (final Daemon other : others()) {
            other.mPermits.setDaemons(
                    mDaemons.keySet().stream()
                            .filter(address -> !address.equals(other.mAddress))
                            .filter(address -> other != daemon || !address.equals(owner().mAddress))
                            .collect(Collectors.toSet()),
                    other == daemon,
                    3,
                    now());
        }
        final Claim claim = daemon.claim(NOW);
        deliver();
        assertThat(claim.mGranted).contains(NOW);
        assertThat(owner().claim(NOW).mDenials).isOne();
    }

    // Guards against a new owner that grants at once what the one before it has granted already.
    @Test
    void newOwnerBeginsWithOneInterval() {
        begin();
        owner().claim(NOW);
        final Daemon lost = owner();
        mDaemons.remove(lost.mAddress);
        mDaemons.values().forEach(daemon -> seesAllBut(daemon, Set.of(lost.mAddress)));
        final Daemon next = owner();
        assertThat(next.claim(NOW).mDenials).isOne();
        mMillis += 999;
        assertThat(next.claim(NOW).mDenials).isOne();
        // Two of three daemons are left, and use two thirds of the limit.
        mMillis += 501;
        assertThat(next.claim(NOW).mGranted).contains(NOW);
    }

    // Guards against an owner that stood still while another daemon granted permits.
    @Test
    void ownerThatStoodStillBeginsAnew() {
        begin();
        final Daemon owner = owner();
        mMillis += 5_000;
        seesAllBut(owner, Set.of());
        assertThat(owner.claim(NOW).mDenials).isOne();
    }

    // Guards against a daemon that is about to stop and still grants permits, as its successor
    // does.
    @Test
    void leavingDaemonOwnsNothing() {
        begin();
        final Daemon leaving = owner();
        leaving.mPermits.setDaemons(
                others().stream().map(other -> other.mAddress).toList(), true, 3, now());
        final Claim claim = leaving.claim(NOW);
        assertThat(claim.mGranted).isEmpty();
        assertThat(mMessages).hasSize(1);
    }

    // Guards against an owner that has not read the endpoint's entry yet and grants without end.
    @Test
    void ownerKeepsToLimitThatClaimantKnows() {
        owner().mLimits.forget("e-1");
        final Daemon owner = owner();
        final Daemon daemon = others().get(0);
        final Claim first = daemon.claim(NOW);
        deliver();
        assertThat(first.mDenials).isOne();
        assertThat(owner.mLimits.limit("e-1")).contains(new RequestRateLimit(1));
    }

    @Test
    void claimantLearnsThatLimitHasEnded() {
        owner().mLimits
                .apply(
                        ENDPOINT,
                        new LimitStatement("e-1", Optional.empty(), 2, Optional.empty()),
                        now());
        final Daemon daemon = others().get(0);
        final Claim claim = daemon.claim(NOW);
        deliver();
        assertThat(claim.mGranted).contains(NOW);
        assertThat(daemon.mLimits.limit("e-1")).isEmpty();
    }

    @Test
    void fewRequestsOfDaemonAskAtOnce() {
        begin();
        final Daemon daemon = others().get(0);
        daemon.claim(NOW);
        assertThat(daemon.mPermits.mayBeGranted("e-1", NOW, now())).isFalse();
    }
}
