/** Fault injection against the real decision code in a simulated world, checked by oracles. */
package org.whinhead.faults;
