/** Benchmarks that print ratios against baselines of the same run. */
package org.whinhead.bench;
