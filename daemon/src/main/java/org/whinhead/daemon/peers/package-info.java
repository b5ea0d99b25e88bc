/** The peer duty: membership, shared load reports and questions between daemons. */
package org.whinhead.daemon.peers;
