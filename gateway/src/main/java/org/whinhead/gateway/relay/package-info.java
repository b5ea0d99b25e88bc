/**
 * Connections to endpoints that one daemon relays for another one which doesn't reach them.
 *
 * <p>The asking daemon handles the request as on a connection of its own: attempts, limits, usage
 * and verdicts are counted there only. The relay forwards bytes and reads none of them, and never
 * uses another relay.
 */
package org.whinhead.gateway.relay;
