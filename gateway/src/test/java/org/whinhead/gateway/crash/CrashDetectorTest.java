package org.whinhead.gateway.crash;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
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

    private final List<String> mProbed = new ArrayList<>();
    private final List<String> mCrashed = new ArrayList<>();
    private final List<Boolean> mChecked = new ArrayList<>();
    private final List<EndpointCrash> mTold = new ArrayList<>();
    private final RequestMetrics mCounts = new RequestMetrics();
    private final CrashDetector mDetector = new CrashDetector(this::probe, mCounts);
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

    private void lose(final String endpoint, final String request) {
        mDetector.connectionLost(
                TestServing.endpoint(endpoint, false),
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
}
