package org.whinhead.gateway.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.whinhead.gateway.endpoint.ConnectFailure;
import org.whinhead.gateway.exchange.TestServing;
import org.whinhead.gateway.metrics.RequestMetrics;
import org.whinhead.serving.crash.EndpointCrash;
import org.whinhead.serving.crash.FeatureAnswer;
import org.whinhead.serving.crash.FeatureLevel;
import org.whinhead.serving.crash.RequestFeature;
import org.whinhead.serving.endpoint.EndpointEntry;

class CrashDetectorTest {

    private Instant mNow = Instant.parse("2026-01-01T00:00:00Z");
    private final List<String> mProbed = new ArrayList<>();
    private final List<String> mCrashed = new ArrayList<>();
    private final List<Boolean> mChecked = new ArrayList<>();
    private final List<EndpointCrash> mTold = new ArrayList<>();
    private final RequestMetrics mCounts = new RequestMetrics();
    private final CrashDetector mDetector = new CrashDetector(this::probe, mCounts, () -> mNow);
    private Runnable mAccepted;
    private Consumer<ConnectFailure> mFailed;

    private void probe(
            final EndpointEntry endpoint,
            final Runnable accepted,
            final Consumer<ConnectFailure> failed) {
        mProbed.add(endpoint.id());
        mAccepted = accepted;
        mFailed = failed;
    }

    @BeforeEach
    void listen() {
        mDetector.setNews(
                new CrashNews() {
                    @Override
                    public void endpointCrashed(final EndpointCrash crash) {
                        mTold.add(crash);
                    }

                    @Override
                    public void answered(final FeatureAnswer answer) {
                        throw new IllegalStateException("nothing was answered");
                    }

                    @Override
                    public void started(
                            final List<RequestFeature> features, final String endpoint) {
                        throw new IllegalStateException("nothing was started");
                    }
                });
    }

    private static EndpointEntry started(final String endpoint, final long second) {
        return EndpointEntry.builder(
                        endpoint, "pool", new InetSocketAddress("127.0.0.1", 9000), "domain-a")
                .started(Optional.of(Instant.ofEpochSecond(second)), Duration.ZERO)
                .build();
    }

    private void lose(final String endpoint, final String request) {
        lose(TestServing.endpoint(endpoint, false), request);
    }

    private void lose(final EndpointEntry endpoint, final String request) {
        mDetector.connectionLost(
                endpoint,
                new CrashDetector.LostRequest() {
                    @Override
                    public EndpointCrash.LostRun crashed() {
                        mCrashed.add(request);
                        return new EndpointCrash.LostRun(
                                List.of(
                                        new FeatureLevel(
                                                new RequestFeature(1, 2, request.hashCode()),
                                                mCrashed.size())));
                    }

                    @Override
                    public void checked(final boolean crashed) {
                        mChecked.add(crashed);
                    }
                });
    }

    @Test
    void requestsOfAnEndpointThatIsGoneShareTheCheck() {
        lose("e-1", "r-1");
        lose("e-1", "r-2");
        assertThat(mProbed).containsExactly("e-1");
        mFailed.accept(ConnectFailure.ENDPOINT);
        assertThat(mCrashed).containsExactly("r-1", "r-2");
        assertThat(mChecked).containsExactly(true, true);
        assertThat(mTold).hasSize(1);
        assertThat(mTold.get(0).endpoint()).isEqualTo("e-1");
        assertThat(mTold.get(0).runs())
                .flatExtracting(EndpointCrash.LostRun::features)
                .extracting(FeatureLevel::level)
                .containsExactly(1, 2);
        assertThat(mCounts.renderPage())
                .contains("whinhead_endpoint_crashes_total{service=\"pool\"} 1");
    }

    // Guards against connections that were reset being taken for crashes.
    @Test
    void endpointThatAcceptsConnectionsHasNotCrashed() {
        lose("e-1", "r-1");
        mAccepted.run();
        assertThat(mCrashed).isEmpty();
        assertThat(mChecked).containsExactly(false);
        lose("e-1", "r-2");
        assertThat(mProbed).containsExactly("e-1", "e-1");
    }

    // Guards against a cut of this daemon's own way being taken for a crash.
    @Test
    void lostWayIsNoCrash() {
        lose("e-1", "r-1");
        mFailed.accept(ConnectFailure.PATH);
        assertThat(mCrashed).isEmpty();
    }

    // Guards against a crash that counts only against innocent requests: the endpoint's port is
    // closed a moment after its connections, and the check of the request to blame came before.
    @Test
    void requestThatWasCheckedBeforeThePortWasClosedBelongsToTheCrash() {
        lose("e-1", "to blame");
        mAccepted.run();
        lose("e-1", "innocent");
        mFailed.accept(ConnectFailure.ENDPOINT);
        assertThat(mCrashed).containsExactlyInAnyOrder("to blame", "innocent");
    }

    // Guards against a verdict that depends on the order of the checks: the second check is made
    // when something accepts connections at the address again.
    @Test
    void requestThatIsLostAfterTheCrashWasFoundBelongsToIt() {
        lose("e-1", "innocent");
        mFailed.accept(ConnectFailure.ENDPOINT);
        lose("e-1", "to blame");
        assertThat(mProbed).containsExactly("e-1");
        assertThat(mCrashed).containsExactly("innocent", "to blame");
        assertThat(mChecked).containsExactly(true, true);
        assertThat(mCounts.renderPage())
                .contains("whinhead_endpoint_crashes_total{service=\"pool\"} 1");
    }

    // Guards against a second verdict for one request: it has been retried or refused by then.
    @Test
    void requestThatWasCheckedBeforeIsToldOnce() {
        lose("e-1", "to blame");
        mAccepted.run();
        lose("e-1", "innocent");
        mFailed.accept(ConnectFailure.ENDPOINT);
        lose("e-1", "late");
        assertThat(mCrashed).containsExactly("to blame", "innocent", "late");
        assertThat(mChecked).containsExactly(false, true, true);
        assertThat(mTold).hasSize(2);
        assertThat(mTold.get(0).runs()).hasSize(2);
    }

    // Guards against a crash that counts against requests which lost their connections before for
    // another reason.
    @Test
    void requestThatWasCheckedLongBeforeDoesNotBelongToTheCrash() {
        lose("e-1", "r-1");
        mAccepted.run();
        mNow = mNow.plus(RecentChecks.MEMORY);
        lose("e-1", "r-2");
        mFailed.accept(ConnectFailure.ENDPOINT);
        assertThat(mCrashed).containsExactly("r-2");
        mNow = mNow.plus(RecentChecks.MEMORY);
        lose("e-1", "r-3");
        mAccepted.run();
        assertThat(mCrashed).containsExactly("r-2");
        assertThat(mChecked).containsExactly(false, true, false);
    }

    // Guards against requests of one start of an endpoint counting for a crash of the next one, in
    // either order, and against checks of two starts that are taken for one.
    @Test
    void crashOfAnotherStartIsAnotherCrash() {
        lose(started("e-1", 1), "before");
        final Runnable acceptedBefore = mAccepted;
        lose(started("e-1", 2), "after");
        assertThat(mProbed).containsExactly("e-1", "e-1");
        acceptedBefore.run();
        mFailed.accept(ConnectFailure.ENDPOINT);
        assertThat(mCrashed).containsExactly("after");
        lose(started("e-1", 1), "late");
        mAccepted.run();
        assertThat(mCrashed).containsExactly("after");
        assertThat(mChecked).containsExactly(false, true, false);
    }

    // Guards against a cut of this daemon's way being taken for the crash that is found after it,
    // and against a crash that is forgotten for a cut between the two checks.
    @Test
    void cutWayDecidesNeitherCheck() {
        lose("e-1", "cut");
        mFailed.accept(ConnectFailure.PATH);
        lose("e-1", "to blame");
        mAccepted.run();
        lose("e-1", "cut again");
        mFailed.accept(ConnectFailure.PATH);
        lose("e-1", "innocent");
        mFailed.accept(ConnectFailure.ENDPOINT);
        assertThat(mCrashed).containsExactly("to blame", "innocent");
        assertThat(mChecked).containsExactly(false, false, false, true);
    }

    // Guards against a crash that counts only against innocent requests at other daemons: the
    // request to blame is the only one of its daemon there, and its check came too early.
    @Test
    void requestThatWasCheckedBeforeAnotherDaemonFoundTheCrashBelongsToIt() {
        lose("e-1", "to blame");
        mAccepted.run();
        mDetector.crashFoundByPeer("e-2");
        assertThat(mCrashed).isEmpty();
        mDetector.crashFoundByPeer("e-1");
        mDetector.crashFoundByPeer("e-1");
        assertThat(mCrashed).containsExactly("to blame");
        assertThat(mTold).hasSize(1);
        assertThat(mChecked).containsExactly(false);
    }

    // Guards against a verdict that depends on whether the news of another daemon or the own check
    // comes first.
    @Test
    void requestThatIsCheckedWhileAnotherDaemonFindsTheCrashBelongsToIt() {
        lose("e-1", "to blame");
        mDetector.crashFoundByPeer("e-1");
        assertThat(mCrashed).isEmpty();
        mAccepted.run();
        assertThat(mCrashed).containsExactly("to blame");
        assertThat(mChecked).containsExactly(true);
    }

    // Guards against news of a crash that count against requests which lost their connections
    // long before it.
    @Test
    void crashFoundByAnotherDaemonConcernsNoEarlierRequests() {
        lose("e-1", "r-1");
        mAccepted.run();
        mNow = mNow.plus(RecentChecks.MEMORY);
        mDetector.crashFoundByPeer("e-1");
        assertThat(mCrashed).isEmpty();
        lose("e-1", "r-2");
        mAccepted.run();
        assertThat(mChecked).containsExactly(false, false);
    }
}
