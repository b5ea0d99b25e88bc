/** The peer service: membership, shared load reports and queries between daemons. */
package org.whinhead.daemon.peers;
