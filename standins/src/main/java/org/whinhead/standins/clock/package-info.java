/** The one thread and the clock that drive the stand-ins of a process. */
package org.whinhead.standins.clock;
