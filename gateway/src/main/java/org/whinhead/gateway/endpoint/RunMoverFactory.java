package org.whinhead.gateway.endpoint;

/** Creates the client that moves runs between endpoints. */
public interface RunMoverFactory {

    /**
     * Creates a mover.
     *
     * @param clients the HTTP clients of endpoints
     * @return the mover
     */
    RunMover create(EndpointHttpClients clients);
}
