/** HTTP client and server for messages that fit into memory. */
package org.whinhead.gateway.http;
