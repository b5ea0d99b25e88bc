/** The network side of the serving path: callers, endpoints, the store and other daemons. */
package org.whinhead.gateway;
