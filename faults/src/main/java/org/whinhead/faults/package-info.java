/** Faults at every step of the work, against the real decisions and an oracle. */
package org.whinhead.faults;
