/** Pollers of the platform, and the loop that runs background tasks on its own thread. */
package org.whinhead.daemon.duty;
