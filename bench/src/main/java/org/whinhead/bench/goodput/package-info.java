/** Benchmark of admission under overload, compared with no limits. */
package org.whinhead.bench.goodput;
