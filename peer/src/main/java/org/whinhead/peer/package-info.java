/** The transport of messages between daemons, over Netty, Protocol Buffers and mutual TLS. */
package org.whinhead.peer;
