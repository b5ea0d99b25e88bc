/** The bounded event ring through which the daemon's threads communicate. */
package org.whinhead.daemon.ring;
