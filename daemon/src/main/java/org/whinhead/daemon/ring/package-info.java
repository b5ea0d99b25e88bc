/** The bounded ring that joins the daemon's threads. */
package org.whinhead.daemon.ring;
