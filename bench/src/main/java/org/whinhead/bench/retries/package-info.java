/** Benchmark of retry variants while part of the engines fail, in simulated time. */
package org.whinhead.bench.retries;
