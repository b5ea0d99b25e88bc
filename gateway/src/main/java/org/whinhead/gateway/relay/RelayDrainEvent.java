package org.whinhead.gateway.relay;

/** The event that a connection must carry no further request, as its relay is about to stop. */
public enum RelayDrainEvent {
    /** The only instance. */
    INSTANCE
}
