/** Measures how fast reclaim notices spread, and the cost of peer traffic on real sockets. */
package org.whinhead.bench.peers;
