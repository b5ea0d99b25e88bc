/** Clocks of a running daemon. */
package org.whinhead.gateway.time;
