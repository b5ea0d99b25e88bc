/** The fault matrix: every fault at every step, once and twice, against the world's oracle. */
package org.whinhead.faults.matrix;
