package org.whinhead.daemon.peers;

import java.time.Instant;
import java.util.List;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.daemon.view.EntryAddress;
import org.whinhead.routing.LoadReport;

/** Receives the events of the peer service on its thread; must not block. */
public interface PeerServiceListener {

    /**
     * Handles a change of the endpoints or of the states of their VMs.
     *
     * @param endpoints all endpoints that may still answer
     * @return false if the event was not accepted and must be repeated
     */
    boolean endpointsChanged(List<Endpoint> endpoints);

    /**
     * Handles the leaving of an endpoint's VM; called until accepted.
     *
     * @param endpoint the endpoint
     * @param goneBy the time at which the endpoint stops answering
     * @return false if the event was not accepted and must be repeated
     */
    boolean endpointLeaving(EndpointId endpoint, Instant goneBy);

    /**
     * Handles a change of the addresses at which daemons accept callers.
     *
     * @param addresses the addresses, best first
     */
    void addressesChanged(List<EntryAddress> addresses);

    /**
     * Handles the reclaim of the own VM; called until accepted, but not after an own stop began.
     *
     * @param goneBy the time at which the VM stops
     * @return false if the event was not accepted and must be repeated
     */
    boolean ownVmLeaving(Instant goneBy);

    /**
     * Handles a load report from a peer.
     *
     * @param report the report
     */
    void loadReported(LoadReport report);
}
