/** Digests that identify requests and streams, the same at all daemons. */
package org.whinhead.gateway.identity;
