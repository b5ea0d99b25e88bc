package org.whinhead.gateway.exchange;

import java.util.Optional;
import org.whinhead.gateway.endpoint.EndpointConnection;
import org.whinhead.gateway.http.OverlongPart;
import org.whinhead.serving.balance.Placement;

/**
 * Finds endpoints that were still sending something without an end at the deadline of its request.
 *
 * <p>Such bytes may stay below all limits if they come slowly. A silent endpoint, a body with a
 * length and a stream of whole events are no such case: they may be slow for want of capacity.
 */
final class UnfinishedResponse {

    private UnfinishedResponse() {}

    /**
     * Logs and counts such a case, and records a failure of the endpoint.
     *
     * @param connection the connection of the attempt; null if there is none
     * @param relay the response of the attempt
     * @param placement the place of the attempt
     */
    static void record(
            final EndpointConnection connection,
            final ResponseRelay relay,
            final Placement placement) {
        if (log(connection, relay)) {
            placement.load().recordOutcome(true);
        }
    }

    /**
     * Logs and counts such a case.
     *
     * @param connection the connection of the attempt; null if there is none
     * @param relay the response of the attempt
     * @return whether it is such a case
     */
    static boolean log(final EndpointConnection connection, final ResponseRelay relay) {
        if (connection == null) {
            return false;
        }
        final Optional<OverlongPart> part = part(connection, relay);
        part.ifPresent(connection::logOverlong);
        return part.isPresent();
    }

    private static Optional<OverlongPart> part(
            final EndpointConnection connection, final ResponseRelay relay) {
        if (relay.head() == null || !relay.isStream() || connection.hasUndecoded()) {
            return connection.unfinishedPart();
        }
        return relay.isComplete() ? Optional.empty() : Optional.of(OverlongPart.EVENT);
    }
}
