/** Immutable views of the deployment for the checks of callers' requests. */
package org.whinhead.daemon.view;
