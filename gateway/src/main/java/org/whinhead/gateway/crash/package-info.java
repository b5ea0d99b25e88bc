/**
 * Finds the endpoints that crash, and the requests that were in progress on them.
 *
 * <p>An endpoint that crashes ends all its connections. So does one that was restarted in order, or
 * a link that was reset; what tells them apart is whether the endpoint still accepts connections.
 */
package org.whinhead.gateway.crash;
