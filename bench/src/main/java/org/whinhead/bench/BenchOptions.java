package org.whinhead.bench;

/**
 * What a run is told.
 *
 * @param json whether the figures are printed as JSON
 * @param seed the seed of all chance in the run
 */
public record BenchOptions(boolean json, long seed) {}
