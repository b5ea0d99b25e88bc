/** Counters of the stand-ins' work, which reveal recomputed tokens and repeated executions. */
package org.whinhead.standins.witness;
