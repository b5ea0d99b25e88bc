/** The fault matrix: every fault at every step, once and twice, checked by the oracles. */
package org.whinhead.faults.matrix;
