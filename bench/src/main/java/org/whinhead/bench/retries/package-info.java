/** Retries while part of the engines fail: each idea on and off, in simulated time. */
package org.whinhead.bench.retries;
