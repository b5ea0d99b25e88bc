package org.whinhead.daemon.peers;

import java.time.Instant;
import java.util.List;
import org.whinhead.api.model.Endpoint;
import org.whinhead.api.model.EndpointId;
import org.whinhead.daemon.view.EntryAddress;
import org.whinhead.routing.LoadReport;

/** Told by the peer duty, on its thread; must not block. */
public interface PeerServiceListener {

    /**
     * The endpoints or the states of their VMs changed.
     *
     * @param endpoints all that may still answer
     * @return false if this could not be taken in now and must be told again
     */
    boolean endpointsChanged(List<Endpoint> endpoints);

    /**
     * An endpoint's VM is leaving; told once.
     *
     * @param endpoint the endpoint
     * @param goneBy when it stops answering
     * @return false if this could not be taken in now and must be told again
     */
    boolean endpointLeaving(EndpointId endpoint, Instant goneBy);

    /**
     * Other daemons are open to callers.
     *
     * @param addresses the addresses, best first
     */
    void addressesChanged(List<EntryAddress> addresses);

    /**
     * The own VM is taken back; told once, and not after an own stop.
     *
     * @param goneBy when it stops
     * @return false if this could not be taken in now and must be told again
     */
    boolean ownVmLeaving(Instant goneBy);

    /**
     * A peer shared a load report.
     *
     * @param report the report
     */
    void loadReported(LoadReport report);
}
