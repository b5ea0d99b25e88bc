/** Latency of operations on the shared log, measured through whole daemons. */
package org.whinhead.bench.log;
