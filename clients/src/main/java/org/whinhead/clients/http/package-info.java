/**
 * Non-blocking HTTP calls over Undertow's client: pooled connections, timeouts and cancellation.
 */
package org.whinhead.clients.http;
