package org.whinhead.routing;

/** Picks an endpoint of a pool for a request. */
interface Picker {

    /** Returns an endpoint, or null if none is available; null avoids an allocation. */
    EndpointState pick(EndpointPool pool, RouteQuery query);
}
