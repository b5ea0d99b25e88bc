package org.whinhead.gateway.crash;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.endpoint.ConnectFailure;
import org.whinhead.gateway.metrics.RequestMetrics;
import org.whinhead.serving.crash.EndpointCrash;
import org.whinhead.serving.crash.FeatureAnswer;
import org.whinhead.serving.crash.RequestFeature;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.endpoint.EndpointStart;

/**
 * Finds out whether an endpoint has crashed when a request has lost its connection to it.
 *
 * <p>An endpoint that is up accepts another connection, whatever became of the first. If this
 * daemon's own way is cut, the connection is made through another daemon.
 *
 * <p>The port of an endpoint that crashes may accept connections some milliseconds longer than its
 * requests last. So the checks of one start of an endpoint within {@link RecentChecks#MEMORY} end
 * with one verdict: a crash also counts against the requests that were checked before it was found,
 * and a check after it is not made. A crash that another daemon tells of counts likewise.
 */
public final class CrashDetector {

    private static final Logger LOG = LoggerFactory.getLogger(CrashDetector.class);

    private final Probe mProbe;
    private final RequestMetrics mCounts;
    private final InstantSource mClock;
    private final RecentChecks mRecent = new RecentChecks();
    private final Map<EndpointStart, List<LostRequest>> mChecked = new HashMap<>();
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
     * @param clock the monotonic clock
     */
    public CrashDetector(
            final Probe probe, final RequestMetrics counts, final InstantSource clock) {
        mProbe = Objects.requireNonNull(probe, "probe");
        mCounts = Objects.requireNonNull(counts, "counts");
        mClock = Objects.requireNonNull(clock, "clock");
    }

    /** A request whose connection to an endpoint has ended. */
    public interface LostRequest {

        /**
         * Records that the endpoint has crashed. Called at most once, and possibly after {@link
         * #checked} has told that it has not; a request that was answered since is not counted.
         *
         * @return what other daemons must hear of the request
         */
        EndpointCrash.LostRun crashed();

        /**
         * Called once, after the check.
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
        final EndpointStart start = EndpointStart.of(endpoint);
        final List<LostRequest> checked = mChecked.get(start);
        if (checked != null) {
            checked.add(lost);
        } else if (mRecent.hasCrashed(start, mClock.instant())) {
            recordCrash(endpoint, List.of(lost), List.of());
        } else {
            mChecked.put(start, new ArrayList<>(List.of(lost)));
            mProbe.probe(
                    endpoint, () -> accepted(endpoint), failure -> notAccepted(endpoint, failure));
        }
    }

    /** Releases the requests that no later check can concern; must be called regularly. */
    public void releaseOutdated() {
        mRecent.releaseOutdated(mClock.instant());
    }

    /**
     * Records that another daemon has found that an endpoint has crashed. The request to blame may
     * be the only one of its daemon there, so that no later check of its own corrects the verdict.
     *
     * @param endpoint the endpoint's id
     */
    public void crashFoundByPeer(final String endpoint) {
        final Instant now = mClock.instant();
        // The verdict on requests that are being checked is given when the check ends.
        mChecked.keySet().stream()
                .filter(start -> start.endpoint().equals(endpoint))
                .forEach(start -> mRecent.markCrashed(start, now));
        mRecent.findAccepted(endpoint, now).ifPresent(entry -> crashFound(entry, List.of(), now));
    }

    private void accepted(final EndpointEntry endpoint) {
        final EndpointStart start = EndpointStart.of(endpoint);
        final List<LostRequest> checked = mChecked.remove(start);
        final Instant now = mClock.instant();
        if (mRecent.hasCrashed(start, now)) {
            crashFound(endpoint, checked, now);
            return;
        }
        mRecent.addAccepted(endpoint, checked, now);
        checked.forEach(lost -> lost.checked(false));
    }

    private void notAccepted(final EndpointEntry endpoint, final ConnectFailure failure) {
        final List<LostRequest> checked = mChecked.remove(EndpointStart.of(endpoint));
        if (failure == ConnectFailure.PATH) {
            // Tells nothing about the endpoint; the connection was most likely lost with the path.
            checked.forEach(lost -> lost.checked(false));
            return;
        }
        crashFound(endpoint, checked, mClock.instant());
    }

    private void crashFound(
            final EndpointEntry endpoint, final List<LostRequest> checked, final Instant now) {
        final EndpointStart start = EndpointStart.of(endpoint);
        mCounts.recordCrash(endpoint.service());
        mRecent.markCrashed(start, now);
        recordCrash(endpoint, checked, mRecent.takeAccepted(start, now));
    }

    /**
     * Counts a crash against the requests that were lost in it.
     *
     * @param endpoint the endpoint
     * @param checked the requests that wait for the verdict
     * @param checkedBefore those that have been told that it had not crashed
     */
    private void recordCrash(
            final EndpointEntry endpoint,
            final List<LostRequest> checked,
            final List<LostRequest> checkedBefore) {
        LOG.atInfo()
                .addKeyValue("endpoint", endpoint.id())
                .addKeyValue("service", endpoint.service())
                .addKeyValue("requests", checked.size() + checkedBefore.size())
                .addKeyValue("checkedBefore", checkedBefore.size())
                .log("endpoint crashed");
        // In the order of their checks: a suspected request that was lost first explains the rest.
        final List<EndpointCrash.LostRun> blamed =
                Stream.concat(checkedBefore.stream(), checked.stream())
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
