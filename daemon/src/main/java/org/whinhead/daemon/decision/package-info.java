/** The decision loop: one thread, fed by a bounded ring, that makes all coordinator calls. */
package org.whinhead.daemon.decision;
