package org.whinhead.gateway.endpoint;

import java.time.Duration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;
import org.whinhead.gateway.http.LeftOver;
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

    void endedUnanswered(final EndpointConnection connection) {
        mCounts.recordEndedUnanswered(connection.pool().service(), connection.path());
        lineAbout(connection)
                .addKeyValue("path", connection.path())
                .addKeyValue("ageMillis", connection.age().toMillis())
                .log("connection ended before response");
    }

    void overlong(final EndpointConnection connection, final OverlongPart part) {
        mCounts.recordOverlong(connection.pool().service(), part.wireName());
        lineAbout(connection).addKeyValue("part", part.wireName()).log("response too long");
    }

    void leftOver(final EndpointConnection connection, final LeftOver leftOver, final int bytes) {
        mCounts.recordLeftOver(connection.pool().service(), leftOver.wireName());
        lineAbout(connection)
                .addKeyValue("kind", leftOver.wireName())
                .addKeyValue("bytes", bytes)
                .log("bytes left over after response");
    }

    void headJoined(final EndpointConnection connection, final int status, final String place) {
        mCounts.recordJoinedHead(connection.pool().service());
        lineAbout(connection)
                .addKeyValue("status", status)
                .addKeyValue("place", place)
                .log("status line within response head");
    }

    void answeredAgain(final EndpointConnection connection, final EndpointResponse head) {
        lineAbout(connection)
                .addKeyValue("request", head.requestId().orElse(""))
                .addKeyValue("status", head.status().code())
                .log("request answered again on its connection");
    }

    private static LoggingEventBuilder lineAbout(final EndpointConnection connection) {
        return LOG.atInfo()
                .addKeyValue("endpoint", connection.pool().endpoint())
                .addKeyValue("service", connection.pool().service())
                .addKeyValue("connection", connection.channel().id().asShortText())
                .addKeyValue("responses", connection.responses());
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
