/**
 * Carries roll-outs out: evidence to the holder of the duties, its steps to all, ends to the store.
 */
package org.whinhead.gateway.rollout;
