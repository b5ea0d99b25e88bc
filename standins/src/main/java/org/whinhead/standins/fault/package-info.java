/** Fault commands over HTTP, common to all stand-ins. */
package org.whinhead.standins.fault;
