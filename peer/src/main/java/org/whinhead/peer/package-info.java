/** Messages between daemons over Netty, protobuf and mutual TLS. */
package org.whinhead.peer;
