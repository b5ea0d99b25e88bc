/** Duties beside the decisions: each has its own thread, fed by its own bounded ring. */
package org.whinhead.daemon.duty;
