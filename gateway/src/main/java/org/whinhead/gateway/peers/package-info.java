/**
 * Datagrams between daemons: membership, load, usage, store digests, rollout and quota messages.
 */
package org.whinhead.gateway.peers;
