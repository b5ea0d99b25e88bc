/** Benchmarks of capacity policies and roll-outs in simulated time. */
package org.whinhead.bench.days;
