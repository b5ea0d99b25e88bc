/**
 * The shared state as a fold over the log's records: each record is applied once, in offset order,
 * with the same result on every daemon.
 */
package org.whinhead.state.fold;
