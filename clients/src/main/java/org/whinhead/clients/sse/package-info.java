/** Server-sent events, parsed as their bytes arrive. */
package org.whinhead.clients.sse;
