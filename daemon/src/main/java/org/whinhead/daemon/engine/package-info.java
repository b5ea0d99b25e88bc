/** Attempts at endpoints: HTTP calls whose results become events of the decision loop. */
package org.whinhead.daemon.engine;
