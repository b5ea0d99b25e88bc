package org.whinhead.serving.reach;

/** How far a new connection to an endpoint came, in rising order. */
public enum ReachLevel {
    /** The connection was not accepted in time. */
    NOT_CONNECTED,
    /** The connection was accepted, but nothing came back. */
    CONNECTED,
    /** A response came back. */
    ANSWERED;

    /**
     * Returns whether a connection came further than another one.
     *
     * @param other how far the other one came
     * @return true if this level is above the other one
     */
    public boolean isAbove(final ReachLevel other) {
        return compareTo(other) > 0;
    }
}
