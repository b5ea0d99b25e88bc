/** Simulated engines with continuous batching and a prefix cache. */
package org.whinhead.bench.engine;
