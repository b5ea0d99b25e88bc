/** The service that follows and writes the log: shared state, settings changes and claims. */
package org.whinhead.daemon.log;
