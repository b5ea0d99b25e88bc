/** Messages between daemons over Netty with protobuf and mutual TLS. */
package org.whinhead.peer;
