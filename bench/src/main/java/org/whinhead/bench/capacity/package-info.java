/** Benchmarks of the processor time, memory and bytes of each daemon role by size. */
package org.whinhead.bench.capacity;
