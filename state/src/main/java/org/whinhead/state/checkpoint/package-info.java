/** Checkpoints of the fold, written before the log's retention takes the records away. */
package org.whinhead.state.checkpoint;
