package org.whinhead.gateway.crash;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.endpoint.ConnectFailure;
import org.whinhead.gateway.metrics.RequestMetrics;
import org.whinhead.serving.crash.EndpointCrash;
import org.whinhead.serving.crash.FeatureAnswer;
import org.whinhead.serving.crash.RequestFeature;
import org.whinhead.serving.endpoint.EndpointEntry;

/**
 * Finds out whether an endpoint has crashed when a request has lost its connection to it.
 *
 * <p>An endpoint that is up accepts another connection, whatever became of the first. If this
 * daemon's own way is cut, the connection is made through another daemon.
 */
public final class CrashDetector {

    private static final Logger LOG = LoggerFactory.getLogger(CrashDetector.class);

    private final Probe mProbe;
    private final RequestMetrics mCounts;
    private final Map<String, List<LostRequest>> mChecked = new HashMap<>();
    private CrashNews mNews = new UntoldNews();

    /** Finds out whether an endpoint accepts connections. */
    public interface Probe {

        /**
         * Opens another connection to an endpoint.
         *
         * @param endpoint the endpoint
         * @param accepted runs if the endpoint accepts it
         * @param failed receives the reason if no connection can be made
         */
        void probe(EndpointEntry endpoint, Runnable accepted, Consumer<ConnectFailure> failed);
    }

    /**
     * Creates a detector that checks no endpoint.
     *
     * @param probe finds out whether an endpoint accepts connections
     * @param counts the counters of the metrics
     */
    public CrashDetector(final Probe probe, final RequestMetrics counts) {
        mProbe = Objects.requireNonNull(probe, "probe");
        mCounts = Objects.requireNonNull(counts, "counts");
    }

    /** A request whose connection to an endpoint has ended. */
    public interface LostRequest {

        /**
         * Records that the endpoint has crashed.
         *
         * @return what other daemons must hear of the request
         */
        EndpointCrash.LostRun crashed();

        /**
         * Called after the check.
         *
         * @param crashed whether the endpoint has crashed; false also if that can't be found out
         */
        void checked(boolean crashed);
    }

    /**
     * Sets who tells other daemons.
     *
     * @param news tells them
     */
    public void setNews(final CrashNews news) {
        mNews = Objects.requireNonNull(news, "news");
    }

    /**
     * Returns who tells other daemons.
     *
     * @return tells nobody until {@link #setNews} is called
     */
    public CrashNews news() {
        return mNews;
    }

    /**
     * Checks an endpoint. Requests that lose their connections while it is checked share the check.
     *
     * @param endpoint the endpoint to which a request has lost its connection
     * @param lost the request
     */
    public void connectionLost(final EndpointEntry endpoint, final LostRequest lost) {
        final List<LostRequest> checked = mChecked.get(endpoint.id());
        if (checked != null) {
            checked.add(lost);
            return;
        }
        mChecked.put(endpoint.id(), new ArrayList<>(List.of(lost)));
        mProbe.probe(
                endpoint, () -> notCrashed(endpoint), failure -> notAccepted(endpoint, failure));
    }

    private void notCrashed(final EndpointEntry endpoint) {
        mChecked.remove(endpoint.id()).forEach(lost -> lost.checked(false));
    }

    private void notAccepted(final EndpointEntry endpoint, final ConnectFailure failure) {
        if (failure == ConnectFailure.PATH) {
            notCrashed(endpoint);
            return;
        }
        final List<LostRequest> checked = mChecked.remove(endpoint.id());
        mCounts.recordCrash(endpoint.service());
        LOG.atInfo()
                .addKeyValue("endpoint", endpoint.id())
                .addKeyValue("service", endpoint.service())
                .addKeyValue("requests", checked.size())
                .log("endpoint crashed");
        final List<EndpointCrash.LostRun> blamed =
                checked.stream()
                        .map(LostRequest::crashed)
                        .filter(run -> !run.features().isEmpty())
                        .toList();
        if (!blamed.isEmpty()) {
            mNews.endpointCrashed(new EndpointCrash(endpoint.id(), blamed));
        }
        checked.forEach(lost -> lost.checked(true));
    }

    /** Tells nobody. */
    private static final class UntoldNews implements CrashNews {
        @Override
        public void endpointCrashed(final EndpointCrash crash) {
            // A daemon by itself has nobody to tell.
        }

        @Override
        public void answered(final FeatureAnswer answer) {
            // See above.
        }

        @Override
        public void started(final List<RequestFeature> features, final String endpoint) {
            // See above.
        }
    }
}
