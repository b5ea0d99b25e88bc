/** Attempts at endpoints: calls that become events for the decision thread. */
package org.whinhead.daemon.engine;
