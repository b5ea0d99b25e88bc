package org.whinhead.gateway.endpoint;

import java.time.Duration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.whinhead.gateway.http.OverlongPart;
import org.whinhead.gateway.metrics.RequestMetrics;
import org.whinhead.gateway.peers.Addresses;
import org.whinhead.gateway.relay.RelayFailure;
import org.whinhead.serving.endpoint.EndpointEntry;
import org.whinhead.serving.member.Relay;

/** Logs and counts the connects to endpoints. */
public final class ConnectionLogger {

    private static final Logger LOG = LoggerFactory.getLogger(ConnectionLogger.class);

    private final RequestMetrics mCounts;

    /**
     * Creates a logger.
     *
     * @param counts the counters of the metrics
     */
    public ConnectionLogger(final RequestMetrics counts) {
        mCounts = counts;
    }

    void connected() {
        mCounts.recordConnect(true);
    }

    void connectFailed(final EndpointEntry endpoint, final Duration taken, final Throwable cause) {
        mCounts.recordConnect(false);
        LOG.atInfo()
                .addKeyValue("endpoint", endpoint.id())
                .addKeyValue("service", endpoint.service())
                .addKeyValue("address", Addresses.format(endpoint.address()))
                .addKeyValue("domain", endpoint.domain())
                .addKeyValue("millis", taken.toMillis())
                .addKeyValue("cause", cause.getClass().getSimpleName())
                .log("connect failed");
    }

    void overlong(final String endpoint, final String service, final OverlongPart part) {
        mCounts.recordOverlong(service, part.wireName());
        LOG.atInfo()
                .addKeyValue("endpoint", endpoint)
                .addKeyValue("service", service)
                .addKeyValue("part", part.wireName())
                .log("response too long");
    }

    void relayed() {
        mCounts.recordRelay("relayed");
    }

    void relayFailed(final EndpointEntry endpoint, final Relay relay, final RelayFailure failure) {
        mCounts.recordRelay(failure.name());
        LOG.atInfo()
                .addKeyValue("endpoint", endpoint.id())
                .addKeyValue("service", endpoint.service())
                .addKeyValue("relay", relay.daemon())
                .addKeyValue("cause", failure.name())
                .log("connection not relayed");
    }
}
