package org.whinhead.serving.connection;

import org.whinhead.serving.configuration.ServiceSpec;

/**
 * Divides the connections that an endpoint accepts evenly between the daemons.
 *
 * <p>The parts are rounded down, so that they never exceed the limit together as long as there are
 * no more daemons than connections. With more daemons each keeps one, as its callers would be
 * refused for good without any.
 */
public final class ConnectionLimits {

    private int mDaemons = 1;

    /**
     * Sets the number of daemons that share the connections.
     *
     * @param daemons the larger of the number of daemons known and recorded, at least 1
     */
    public void setDaemons(final int daemons) {
        mDaemons = Math.max(daemons, 1);
    }

    /**
     * Returns the connections that a daemon may hold to one endpoint.
     *
     * @param service the endpoint's service
     * @return the number of connections, open and being opened, at least 1
     */
    public int part(final ServiceSpec service) {
        return Math.max(service.maxConnections() / mDaemons, 1);
    }

    /**
     * Returns whether a daemon may open another connection to an endpoint.
     *
     * @param service the endpoint's service
     * @param open the connections of this daemon to it, open and being opened
     * @return true if it stays within its part
     */
    public boolean mayOpen(final ServiceSpec service, final int open) {
        return open < part(service);
    }
}
