package org.whinhead.gateway.endpoint;

/** What tells that a response is complete. */
public enum ResponseEnd {
    /** The response has as many bytes as it declares, or its last chunk. */
    DECLARED,

    /** The same, and bytes that don't belong to the response were received with its end. */
    EXCEEDED,

    /** The response declares no length, and its connection was closed. A crash closes it too. */
    CONNECTION_CLOSED
}
