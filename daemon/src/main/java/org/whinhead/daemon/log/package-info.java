/** The duty that follows and writes the log: the shared state, changes of settings and claims. */
package org.whinhead.daemon.log;
