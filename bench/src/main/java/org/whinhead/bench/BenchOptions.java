package org.whinhead.bench;

/**
 * Options of a benchmark run.
 *
 * @param json whether the figures are printed as JSON
 * @param seed seed of the run's random generators
 */
public record BenchOptions(boolean json, long seed) {}
