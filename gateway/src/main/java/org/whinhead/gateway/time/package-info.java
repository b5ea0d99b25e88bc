/** The monotonic clock and the event loop's lag. */
package org.whinhead.gateway.time;
