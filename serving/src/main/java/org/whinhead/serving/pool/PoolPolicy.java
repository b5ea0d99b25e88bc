package org.whinhead.serving.pool;

/**
 * The decisions about endpoints shared by many daemons that a deployment asks for.
 *
 * @param learnsSpeed whether the speed of each endpoint is learnt and used for its choice
 * @param admitsByWait whether requests are refused or held back by their expected wait
 * @param limitsConnections whether daemons share the connections that an endpoint accepts
 */
public record PoolPolicy(boolean learnsSpeed, boolean admitsByWait, boolean limitsConnections) {

    /** None of the decisions: endpoints are chosen by load alone. */
    public static final PoolPolicy OFF = new PoolPolicy(false, false, false);

    /** All of the decisions. */
    public static final PoolPolicy ALL = new PoolPolicy(true, true, true);
}
