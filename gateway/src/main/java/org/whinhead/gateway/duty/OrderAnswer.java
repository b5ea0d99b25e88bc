package org.whinhead.gateway.duty;

/** What the platform says of an order of endpoints. */
public enum OrderAnswer {
    /** It carries the order out. */
    ACCEPTED,
    /** It has no such endpoints at the moment. */
    NONE_AVAILABLE,
    /** It has not looked at the order: there were too many calls, or it is not in service. */
    NOT_HANDLED
}
