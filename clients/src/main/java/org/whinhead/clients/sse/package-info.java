/** Incremental parser for server-sent events. */
package org.whinhead.clients.sse;
