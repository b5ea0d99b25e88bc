/** Connections to endpoints, and what comes back on them. */
package org.whinhead.gateway.endpoint;
