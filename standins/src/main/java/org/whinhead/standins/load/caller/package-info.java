/** The client side of the protocol: address queries, streams, retries and answer verification. */
package org.whinhead.standins.load.caller;
