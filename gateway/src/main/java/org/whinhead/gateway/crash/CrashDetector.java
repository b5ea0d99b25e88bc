package org.whinhead.gateway.crash;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.endpoint.ConnectFailure;
import org.whinhead.gateway.metrics.RequestMetrics;
import org.whinhead.serving.crash.EndpointCrash;
import org.whinhead.serving.crash.RequestIdentity;
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
    private Consumer<EndpointCrash> mOnCrash = crash -> {};
    private Consumer<RequestIdentity> mOnAnswer = identity -> {};

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

    private record LostRequest(RequestIdentity identity, IntSupplier onCrash) {}

    /**
     * Sets the handlers of what other daemons must hear.
     *
     * @param onCrash receives an endpoint that has crashed and the requests that were on it
     * @param onAnswer receives a suspected request that was answered
     */
    public void onEvents(
            final Consumer<EndpointCrash> onCrash, final Consumer<RequestIdentity> onAnswer) {
        mOnCrash = Objects.requireNonNull(onCrash, "onCrash");
        mOnAnswer = Objects.requireNonNull(onAnswer, "onAnswer");
    }

    /**
     * Handles the answer to a suspected request.
     *
     * @param identity the request
     */
    public void answered(final RequestIdentity identity) {
        mOnAnswer.accept(identity);
    }

    /**
     * Checks an endpoint. Requests that lose their connections while it is checked share the check.
     *
     * @param endpoint the endpoint to which a request has lost its connection
     * @param identity the request
     * @param onCrash records the crash if the endpoint accepts no connections; returns the level of
     *     the request
     */
    public void connectionLost(
            final EndpointEntry endpoint,
            final RequestIdentity identity,
            final IntSupplier onCrash) {
        final LostRequest lost = new LostRequest(identity, onCrash);
        final List<LostRequest> checked = mChecked.get(endpoint.id());
        if (checked != null) {
            checked.add(lost);
            return;
        }
        mChecked.put(endpoint.id(), new ArrayList<>(List.of(lost)));
        mProbe.probe(
                endpoint,
                () -> mChecked.remove(endpoint.id()),
                failure -> notAccepted(endpoint, failure));
    }

    private void notAccepted(final EndpointEntry endpoint, final ConnectFailure failure) {
        final List<LostRequest> checked = mChecked.remove(endpoint.id());
        if (failure == ConnectFailure.PATH) {
            return;
        }
        mCounts.recordCrash(endpoint.service());
        LOG.atInfo()
                .addKeyValue("endpoint", endpoint.id())
                .addKeyValue("service", endpoint.service())
                .addKeyValue("requests", checked.size())
                .log("endpoint crashed");
        final List<EndpointCrash.Request> requests = new ArrayList<>();
        for (final LostRequest lost : checked) {
            requests.add(new EndpointCrash.Request(lost.identity(), lost.onCrash().getAsInt()));
        }
        mOnCrash.accept(new EndpointCrash(endpoint.id(), requests));
    }
}
