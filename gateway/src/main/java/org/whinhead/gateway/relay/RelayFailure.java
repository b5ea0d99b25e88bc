package org.whinhead.gateway.relay;

/** The reason why a connection could not be relayed. */
public enum RelayFailure {
    /** The endpoint did not accept the relay's connection either. */
    ENDPOINT_NOT_REACHED,
    /** The relay was not reached, did not reply or denied the request. */
    NOT_RELAYED
}
