/** A small model of engines in simulated time: continuous batching and a prefix cache. */
package org.whinhead.bench.engine;
