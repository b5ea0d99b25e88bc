package org.whinhead.gateway.relay;

/** The reason why a connection could not be relayed. */
public enum RelayFailure {
    /** The endpoint did not accept the relay's connection either. */
    ENDPOINT_NOT_REACHED,
    /** The relay denied the request, as it may not reach the endpoint or has no room. */
    DENIED,
    /** The relay was not reached or did not reply. */
    NOT_RELAYED
}
