/**
 * Rollouts of new service versions: evidence to the lease holder, its steps to all daemons, and
 * final states to the store.
 */
package org.whinhead.gateway.rollout;
