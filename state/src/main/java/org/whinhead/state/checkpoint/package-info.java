/** Checkpoints of the shared state, written before the log's retention removes the records. */
package org.whinhead.state.checkpoint;
