/** Connections to endpoints, and the protocol spoken on them. */
package org.whinhead.gateway.endpoint;
