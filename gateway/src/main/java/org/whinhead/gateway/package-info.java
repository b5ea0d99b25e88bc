/** The serving path's input and output: callers, endpoints, the store and other daemons. */
package org.whinhead.gateway;
