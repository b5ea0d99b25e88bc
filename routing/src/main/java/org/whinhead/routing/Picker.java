package org.whinhead.routing;

/** Chooses among the endpoints of one pool. */
interface Picker {

    /** Returns the chosen endpoint, or null if none is open; null spares an allocation. */
    EndpointState pick(EndpointPool pool, RouteQuery query);
}
