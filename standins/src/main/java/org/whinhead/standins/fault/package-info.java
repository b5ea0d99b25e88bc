/** Fault commands over HTTP, the same way at every stand-in. */
package org.whinhead.standins.fault;
