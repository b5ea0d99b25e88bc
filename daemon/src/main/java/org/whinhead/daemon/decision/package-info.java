/**
 * The decision duty: one thread, fed by a bounded ring, on which every coordinator call happens.
 */
package org.whinhead.daemon.decision;
