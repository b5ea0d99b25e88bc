/** Shared state as a fold of the log: records, checkpoints, settings, leases and claims. */
package org.whinhead.state;
