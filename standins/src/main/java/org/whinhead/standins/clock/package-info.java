/** The clock and the timer thread that all stand-ins of a process share. */
package org.whinhead.standins.clock;
