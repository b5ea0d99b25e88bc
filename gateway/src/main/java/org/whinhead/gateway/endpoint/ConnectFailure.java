package org.whinhead.gateway.endpoint;

/** The reason why no connection to an endpoint could be opened. */
public enum ConnectFailure {
    /** The endpoint accepts no connections, as far as this daemon knows. */
    ENDPOINT,
    /** This daemon is cut off from the endpoint, and no other daemon relayed a connection. */
    PATH,
    /** This daemon holds its part of the connections that the endpoint accepts from all daemons. */
    LIMIT
}
