/** The caller's side of the protocol: addresses, streams, retries and the comparison of answers. */
package org.whinhead.standins.load.caller;
