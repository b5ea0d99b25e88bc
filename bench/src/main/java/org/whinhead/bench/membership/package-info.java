/**
 * Measures the cost of membership and the speed of its gossip, with many daemons in one process.
 */
package org.whinhead.bench.membership;
