/** Shared state as a fold over the log: records, checkpoints, settings, leases and claims. */
package org.whinhead.state;
