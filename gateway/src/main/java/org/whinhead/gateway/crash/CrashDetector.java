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
    private final Map<String, List<Runnable>> mChecked = new HashMap<>();

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

    /**
     * Checks an endpoint. Requests that lose their connections while it is checked share the check.
     *
     * @param endpoint the endpoint to which a request has lost its connection
     * @param onCrash runs if the endpoint accepts no connections
     */
    public void connectionLost(final EndpointEntry endpoint, final Runnable onCrash) {
        final List<Runnable> checked = mChecked.get(endpoint.id());
        if (checked != null) {
            checked.add(onCrash);
            return;
        }
        mChecked.put(endpoint.id(), new ArrayList<>(List.of(onCrash)));
        mProbe.probe(
                endpoint,
                () -> mChecked.remove(endpoint.id()),
                failure -> notAccepted(endpoint, failure));
    }

    private void notAccepted(final EndpointEntry endpoint, final ConnectFailure failure) {
        final List<Runnable> checked = mChecked.remove(endpoint.id());
        if (failure == ConnectFailure.PATH) {
            return;
        }
        mCounts.recordCrash(endpoint.service());
        LOG.atInfo()
                .addKeyValue("endpoint", endpoint.id())
                .addKeyValue("service", endpoint.service())
                .addKeyValue("requests", checked.size())
                .log("endpoint crashed");
        checked.forEach(Runnable::run);
    }
}
