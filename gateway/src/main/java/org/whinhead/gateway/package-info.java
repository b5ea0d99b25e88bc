/**
 * The network side of the serving path: connections to callers, endpoints, the store and other
 * daemons.
 */
package org.whinhead.gateway;
