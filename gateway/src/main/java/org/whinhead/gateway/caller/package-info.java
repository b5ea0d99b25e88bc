/** Connections of callers: strict decoding of requests, and responses sent as they arrive. */
package org.whinhead.gateway.caller;
