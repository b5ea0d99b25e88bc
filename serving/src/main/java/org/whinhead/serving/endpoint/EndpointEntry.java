package org.whinhead.serving.endpoint;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.whinhead.api.Arguments;

/**
 * One endpoint as it describes itself in the store.
 *
 * @param id the incarnation's id; a restart gets another one
 * @param service the service that it belongs to
 * @param address where it listens
 * @param domain its failure domain
 * @param slots how many requests it works on at once
 * @param leaving whether it has announced to leave
 * @param reclaimable whether it may be taken back on short notice
 * @param leavesIn the time left of an announced reclaim, counted from the announcement
 * @param coldFor how much longer it is slow after its start
 */
public record EndpointEntry(
        String id,
        String service,
        InetSocketAddress address,
        String domain,
        int slots,
        boolean leaving,
        boolean reclaimable,
        Optional<Duration> leavesIn,
        Duration coldFor) {

    /** Checks the parts. */
    public EndpointEntry {
        Arguments.requireText(id, "id");
        Arguments.requireText(service, "service");
        Objects.requireNonNull(address, "address");
        Objects.requireNonNull(domain, "domain");
        Objects.requireNonNull(leavesIn, "leavesIn");
        Objects.requireNonNull(coldFor, "coldFor");
    }
}
