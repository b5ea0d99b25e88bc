/** Leases on the log: one holder of a duty, with the lease record's offset as fencing number. */
package org.whinhead.state.lease;
